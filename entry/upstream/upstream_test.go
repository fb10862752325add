package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/routing"
)

// group runs the servers; each ends with its connection.
var group sync.WaitGroup

// backend accepts connections on a loopback address and serves each with a
// function.
func backend(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) (*upstream.Pool, *routing.Server) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	pool := &upstream.Pool{
		HeaderNames: header.Names{
			RequestID: "X-Id",
		},
		MaxIdlePerServer: func(string) int { return 4 },
	}
	accepted := make(chan net.Conn, 16)
	t.Cleanup(func() {
		pool.CloseStale(func(routing.Incarnation) bool { return false })
		close(accepted)
		for conn := range accepted {
			conn.Close()
		}
	})
	pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		opened, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		conn, err := listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted <- conn
		group.Go(func() { serve(conn, bufio.NewReader(conn)) })
		return opened, nil
	}
	return pool, &routing.Server{
		ID:      "a",
		Address: listener.Addr().String(),
	}
}

func newRequest(id, body string) *http.Request {
	request, _ := http.NewRequest(http.MethodPost, "http://desk.example/book/", strings.NewReader(body))
	request.Header.Set("X-Id", id)
	return request
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestResponseToEarlierRequestIsSkipped reads past the answer to an earlier request.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	pool, server := backend(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err == nil {
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, answer("old", "not yours")+answer("new", "yours"))
		}
	})
	got, failure := pool.Exchange(t.Context(), server, newRequest("new", "x"), "new")
	assert.Assert(t, failure == nil)
	assert.Equal(t, string(got.Prefix), "yours")
	got.Release()
}

// TestUnsolicitedBytesCloseIdleConn closes a kept connection on which something came
// while it was idle.
func TestUnsolicitedBytesCloseIdleConn(t *testing.T) {
	kept, extra := make(chan bool), make(chan bool)
	pool, server := backend(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			id := request.Header.Get("X-Id")
			io.WriteString(conn, answer(id, "own "+id))
			<-kept
			io.WriteString(conn, answer(id, "again"))
			extra <- true
		}
	})
	for _, id := range []string{"one", "two"} {
		got, failure := pool.Exchange(t.Context(), server, newRequest(id, "x"), id)
		assert.Assert(t, failure == nil)
		assert.Equal(t, string(got.Prefix), "own "+id)
		assert.Assert(t, got.ConnectTime > 0, "the connection was used again")
		got.Release()
		kept <- true
		<-extra
	}
}

// TestEarlyResponse: a server answers before it has read a long body and reads on.
// The answer is delivered and the connection not used again.
func TestEarlyResponse(t *testing.T) {
	pool, server := backend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nX-Id: up\r\nContent-Length: 2\r\n\r\nno")
			io.Copy(io.Discard, reader)
		}
	})
	for range 2 {
		got, failure := pool.Exchange(t.Context(), server, newRequest("up", strings.Repeat("x", 8<<20)), "up")
		assert.Assert(t, failure == nil)
		assert.Equal(t, got.StatusCode, http.StatusRequestEntityTooLarge)
		assert.Assert(t, got.ConnectTime > 0)
		got.Release()
	}
}

// TestResponseDelimitedByClose ends with its connection; one that is reset is not whole.
func TestResponseDelimitedByClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		pool, server := backend(t, func(conn net.Conn, reader *bufio.Reader) {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nsome bytes")
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		})
		got, failure := pool.Exchange(t.Context(), server, newRequest("one", "x"), "one")
		if reset {
			assert.Assert(t, failure != nil && failure.MaybeSent)
			continue
		}
		assert.Assert(t, failure == nil)
		assert.Equal(t, string(got.Prefix), "some bytes")
		got.Release()
	}
}

// FuzzResponse feeds a server's bytes to the reader. Whatever comes, an answer is
// either refused or the one with the request's ID.
func FuzzResponse(f *testing.F) {
	f.Add(answer("one", "whole"))
	f.Add(answer("other", "crossed") + answer("one", "whole"))
	f.Add("HTTP/1.1 100 Continue\r\n\r\n" + answer("one", "whole"))
	f.Add("HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef")
	f.Add("\x00\xff HTTP")
	f.Fuzz(func(t *testing.T, content string) {
		near, far := net.Pipe()
		pool := &upstream.Pool{
			HeaderNames: header.Names{
				RequestID: "X-Id",
			},
			MaxIdlePerServer: func(string) int { return 0 },
			Dial:             func(context.Context, string) (net.Conn, error) { return near, nil },
		}
		group.Go(func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				io.WriteString(far, content)
			}
			far.Close()
		})
		request, _ := http.NewRequest(http.MethodGet, "http://desk.example/", nil)
		got, failure := pool.Exchange(t.Context(), &routing.Server{}, request, "one")
		if failure == nil {
			assert.Equal(t, got.Header.Get("X-Id"), "one")
			got.Release()
		}
	})
}

// TestMaxIdleTotal: an entry keeps no more idle connections to all servers than it
// has descriptors for.
func TestMaxIdleTotal(t *testing.T) {
	pool, server := backend(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, answer(request.Header.Get("X-Id"), "own"))
		}
	})
	pool.MaxIdleTotal = func() int { return 2 }
	reused := func() (count int) {
		var open []*upstream.Response
		for i := range 4 {
			each := *server
			each.ID = fmt.Sprint("server-", i)
			id := fmt.Sprint("r", i)
			got, failure := pool.Exchange(t.Context(), &each, newRequest(id, "x"), id)
			assert.Assert(t, failure == nil)
			if got.ConnectTime == 0 {
				count++
			}
			open = append(open, got)
		}
		for _, got := range open {
			got.Release()
		}
		return count
	}
	assert.Equal(t, reused(), 0)
	assert.Equal(t, reused(), 2)
	assert.Equal(t, reused(), 2)
}
