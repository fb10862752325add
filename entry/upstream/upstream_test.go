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

// serverGoroutines starts the servers' goroutines. No test waits for them, since each
// ends when its connection is closed.
var serverGoroutines sync.WaitGroup

// newServer starts a server on a loopback address that calls serve for each
// connection. It returns the server's registration and a pool whose Dial also accepts
// the connection on the server's side.
func newServer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) (*upstream.Pool, *routing.Server) {
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
		serverGoroutines.Go(func() { serve(conn, bufio.NewReader(conn)) })
		return opened, nil
	}
	return pool, &routing.Server{
		ID:      "a",
		Address: listener.Addr().String(),
	}
}

// newRequest returns a POST request with the given ID and body.
func newRequest(id, body string) *http.Request {
	request, _ := http.NewRequest(http.MethodPost, "http://desk.example/book/", strings.NewReader(body))
	request.Header.Set("X-Id", id)
	return request
}

// responseText returns a complete HTTP response to the request with the given ID.
func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestResponseToEarlierRequestIsSkipped sends a response with another request's ID
// before the request's own. Exchange must skip it and return the second response.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err == nil {
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, responseText("old", "not yours")+responseText("new", "yours"))
		}
	})
	response, failure := pool.Exchange(t.Context(), server, newRequest("new", "x"), "new")
	assert.Assert(t, failure == nil)
	assert.Equal(t, string(response.Prefix), "yours")
	response.Release()
}

// TestUnsolicitedBytesCloseIdleConn checks that a connection on which data arrives
// while it is idle is not reused.
func TestUnsolicitedBytesCloseIdleConn(t *testing.T) {
	// released tells the server that the client has released the connection, written
	// tells the client that the server has then written unsolicited data to it.
	released, written := make(chan bool), make(chan bool)
	pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			id := request.Header.Get("X-Id")
			io.WriteString(conn, responseText(id, "own "+id))
			<-released
			io.WriteString(conn, responseText(id, "again"))
			written <- true
		}
	})
	for _, id := range []string{"one", "two"} {
		response, failure := pool.Exchange(t.Context(), server, newRequest(id, "x"), id)
		assert.Assert(t, failure == nil)
		assert.Equal(t, string(response.Prefix), "own "+id)
		assert.Assert(t, response.ConnectTime > 0, "the connection was reused")
		response.Release()
		released <- true
		<-written
	}
}

// TestEarlyResponse lets a server respond before it has read a large request body.
// Exchange must return the response, and the connection must not be reused.
func TestEarlyResponse(t *testing.T) {
	pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nX-Id: up\r\nContent-Length: 2\r\n\r\nno")
			io.Copy(io.Discard, reader)
		}
	})
	for range 2 {
		response, failure := pool.Exchange(t.Context(), server, newRequest("up", strings.Repeat("x", 8<<20)), "up")
		assert.Assert(t, failure == nil)
		assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
		assert.Assert(t, response.ConnectTime > 0)
		response.Release()
	}
}

// TestResponseDelimitedByClose sends a response without a length. It ends when the
// server closes the connection; if the connection is reset, Exchange must fail.
func TestResponseDelimitedByClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
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
		response, failure := pool.Exchange(t.Context(), server, newRequest("one", "x"), "one")
		if reset {
			assert.Assert(t, failure != nil && failure.MaybeSent)
			continue
		}
		assert.Assert(t, failure == nil)
		assert.Equal(t, string(response.Prefix), "some bytes")
		response.Release()
	}
}

// FuzzResponse lets a server send arbitrary bytes as the response. Exchange must
// either fail or return a response with the request's ID.
func FuzzResponse(f *testing.F) {
	f.Add(responseText("one", "whole"))
	// The response to another request comes first.
	f.Add(responseText("other", "crossed") + responseText("one", "whole"))
	// An interim response comes first.
	f.Add("HTTP/1.1 100 Continue\r\n\r\n" + responseText("one", "whole"))
	f.Add("HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	// The lengths contradict each other.
	f.Add("HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef")
	f.Add("\x00\xff HTTP")
	f.Fuzz(func(t *testing.T, content string) {
		clientConn, serverConn := net.Pipe()
		pool := &upstream.Pool{
			HeaderNames: header.Names{
				RequestID: "X-Id",
			},
			MaxIdlePerServer: func(string) int { return 0 },
			Dial:             func(context.Context, string) (net.Conn, error) { return clientConn, nil },
		}
		serverGoroutines.Go(func() {
			if _, err := http.ReadRequest(bufio.NewReader(serverConn)); err == nil {
				io.WriteString(serverConn, content)
			}
			serverConn.Close()
		})
		request, _ := http.NewRequest(http.MethodGet, "http://desk.example/", nil)
		response, failure := pool.Exchange(t.Context(), &routing.Server{}, request, "one")
		if failure == nil {
			assert.Equal(t, response.Header.Get("X-Id"), "one")
			response.Release()
		}
	})
}

// TestMaxIdleTotal checks that the pool keeps no more idle connections to all servers
// together than MaxIdleTotal allows.
func TestMaxIdleTotal(t *testing.T) {
	pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, responseText(request.Header.Get("X-Id"), "own"))
		}
	})
	pool.MaxIdleTotal = func() int { return 2 }
	countReused := func() (count int) {
		var responses []*upstream.Response
		for i := range 4 {
			serverCopy := *server
			serverCopy.ID = fmt.Sprint("server-", i)
			id := fmt.Sprint("r", i)
			response, failure := pool.Exchange(t.Context(), &serverCopy, newRequest(id, "x"), id)
			assert.Assert(t, failure == nil)
			if response.ConnectTime == 0 {
				count++
			}
			responses = append(responses, response)
		}
		for _, response := range responses {
			response.Release()
		}
		return count
	}
	assert.Equal(t, countReused(), 0)
	assert.Equal(t, countReused(), 2)
	assert.Equal(t, countReused(), 2)
}
