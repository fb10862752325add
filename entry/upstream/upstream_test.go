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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
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

// TestResponseToHead checks that the response to a HEAD request is returned without a body, with
// the length that a body would have, and that the connection is reused.
func TestResponseToHead(t *testing.T) {
	pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 300\r\n\r\n", request.Header.Get("X-Id"))
		}
	})
	for i, id := range []string{"one", "two"} {
		request, _ := http.NewRequest(http.MethodHead, "http://desk.example/browse/", nil)
		request.Header.Set("X-Id", id)
		response, failure := pool.Exchange(t.Context(), server, request, id)
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, len(response.Prefix), 0)
		assert.Assert(t, response.Remainder == nil)
		assert.Equal(t, response.Header.Get("Content-Length"), "300")
		assert.Equal(t, response.ConnectTime == 0, i == 1)
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

// endlessConn is the client's end of a connection whose server sends a text, and then a
// filler without end.
type endlessConn struct {
	net.Conn
	text   string
	filler string
	// received counts the bytes that the client has received.
	received atomic.Int64
	closed   atomic.Bool
}

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	count := copy(p, c.text)
	c.text = c.text[count:]
	for count < len(p) {
		count += copy(p[count:], c.filler)
	}
	c.received.Add(int64(count))
	return count, nil
}

func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *endlessConn) SetDeadline(time.Time) error { return nil }

func (c *endlessConn) Close() error {
	c.closed.Store(true)
	return nil
}

// TestResponsesWithoutEnd lets a server send bytes without end that are no response. Exchange
// must fail after a bounded number of bytes, say that the request may have run, and close the
// connection.
func TestResponsesWithoutEnd(t *testing.T) {
	const maxReceived = 1 << 20
	for _, test := range []struct {
		name   string
		text   string
		filler string
	}{
		{
			name:   "status line",
			filler: "x",
		},
		{
			name:   "header field",
			text:   "HTTP/1.1 200 OK\r\nX-Junk: ",
			filler: "x",
		},
		{
			name:   "header fields",
			text:   "HTTP/1.1 200 OK\r\n",
			filler: "X-Junk: 1\r\n",
		},
		{
			name:   "interim responses",
			filler: "HTTP/1.1 102 Processing\r\n\r\n",
		},
		{
			name:   "responses to other requests",
			filler: "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx",
		},
		{
			name:   "body of a response to another request",
			text:   "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n",
			filler: "x",
		},
		{
			name:   "chunks of a response to another request",
			text:   "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
			filler: "1\r\nx\r\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn := &endlessConn{
				text:   test.text,
				filler: test.filler,
			}
			pool := &upstream.Pool{
				HeaderNames: header.Names{
					RequestID: "X-Id",
				},
				MaxIdlePerServer: func(string) int { return 4 },
				Dial:             func(context.Context, string) (net.Conn, error) { return conn, nil },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, failure := pool.Exchange(ctx, &routing.Server{}, newRequest("one", "x"), "one")
			assert.Assert(t, failure != nil && failure.MaybeSent)
			assert.NilError(t, ctx.Err())
			assert.Assert(t, conn.received.Load() <= maxReceived, "%d bytes were received", conn.received.Load())
			assert.Assert(t, conn.closed.Load())
		})
	}
}

// TestBodyWithoutEnd checks that a response whose body has no end is returned with a buffered
// prefix of bounded size, and that the connection is closed when it is released.
func TestBodyWithoutEnd(t *testing.T) {
	conn := &endlessConn{
		text:   "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\n",
		filler: "x",
	}
	pool := &upstream.Pool{
		HeaderNames: header.Names{
			RequestID: "X-Id",
		},
		MaxIdlePerServer: func(string) int { return 4 },
		Dial:             func(context.Context, string) (net.Conn, error) { return conn, nil },
	}
	response, failure := pool.Exchange(t.Context(), &routing.Server{}, newRequest("one", "x"), "one")
	assert.Assert(t, failure == nil)
	assert.Equal(t, len(response.Prefix), 256<<10)
	assert.Assert(t, response.Remainder != nil && conn.received.Load() <= 1<<20)
	response.Release()
	assert.Assert(t, conn.closed.Load())
}

// TestStrayResponseClosesConn checks that a connection is not reused after a server has sent
// a second copy of a response on it, at once or in pieces around the next request, and that
// the next caller gets its own response.
func TestStrayResponseClosesConn(t *testing.T) {
	for _, cut := range []int{0, 1, 20, len(responseText("one", "own one")) - 1} {
		copied := responseText("one", "own one")
		first, second := copied[:cut], copied[cut:]
		exchanged := make(chan bool)
		pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
			for pending := ""; ; {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				// The copy of the last response arrives while the body is on its way.
				io.WriteString(conn, pending)
				io.Copy(io.Discard, request.Body)
				id := request.Header.Get("X-Id")
				io.WriteString(conn, responseText(id, "own "+id))
				if id == "one" {
					<-exchanged
					io.WriteString(conn, first)
					pending = second
					exchanged <- true
				}
			}
		})
		for i, id := range []string{"one", "two", "three"} {
			response, failure := pool.Exchange(t.Context(), server, newRequest(id, strings.Repeat("x", 100)), id)
			assert.Assert(t, failure == nil, "cut %d, %s: %v", cut, id, failure)
			assert.Equal(t, string(response.Prefix), "own "+id)
			reused := response.ConnectTime == 0
			// The copy, or its first piece, arrives on the first connection before request two
			// if it is cut, and with that request otherwise.
			mayReuse := i == 1 && cut == 0 || i == 2 && cut > 0
			assert.Assert(t, !reused || mayReuse, "cut %d: the connection was reused for %s", cut, id)
			response.Release()
			if id == "one" {
				exchanged <- true
				<-exchanged
			}
		}
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

// slowBody is a request body that is written in small pieces.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	count := min(b.left, len(p), 700)
	b.left -= count
	return count, nil
}

// TestResetIsNoEndOfResponse guards against a response without a length that counts as complete
// although the server has reset the connection in the middle: the goroutine that still sends the
// request's body may get the error of the reset, and the read then ends like that of a connection
// that was closed.
func TestResetIsNoEndOfResponse(t *testing.T) {
	complete := 0
	for number := range 1500 {
		size := 2000 + number*331%1_000_000
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		serverGoroutines.Go(func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Stamp: s\r\n\r\n"+strings.Repeat("x", number*17%1600))
			io.CopyN(io.Discard, reader, int64(number*101%5000))
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		})
		pool := &upstream.Pool{
			HeaderNames: header.Names{
				RequestID: "X-Id",
			},
			MaxIdlePerServer: func(string) int { return 0 },
			Dial: func(context.Context, string) (net.Conn, error) {
				return net.Dial("tcp4", listener.Addr().String())
			},
		}
		request, err := http.NewRequest(http.MethodPost, "http://desk.example/", &slowBody{left: size})
		assert.NilError(t, err)
		request.ContentLength = int64(size)
		response, failure := pool.Exchange(t.Context(), &routing.Server{}, request, "one")
		if failure == nil {
			if _, err := io.Copy(io.Discard, remainder(response)); err == nil {
				complete++
			}
			response.Release()
		}
		listener.Close()
	}
	assert.Equal(t, complete, 0, "of 1500 responses that were reset")
}

// remainder returns the remainder of a response, which may have none.
func remainder(response *upstream.Response) io.Reader {
	if response.Remainder == nil {
		return strings.NewReader("")
	}
	return response.Remainder
}

// TestBytesThatAreNoResponse guards against requests that wait for their deadline because a server
// has sent what is no response, nor the beginning of one, and keeps the connection open.
func TestBytesThatAreNoResponse(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 None\r\nX-Id: one\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 099 Low\r\nX-Id: one\r\n\r\nbody",
		"HTTP/1.1 20 Short\r\nX-Id: one\r\n\r\n",
		"HTTP/1.1 2000 Long\r\nX-Id: one\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nX-Id: one\r\n\r\nbody",
		"HTTP/1.1 -20 Negative\r\n\r\n",
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000),
		"HTTP/1.1 103 Early Hints\r\n\r\nbody",
		"HTTP/2.0 200 OK\r\n",
		"body",
		"\x00",
	} {
		ended := make(chan struct{})
		pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err == nil {
				io.WriteString(conn, text)
			}
			// The connection stays open until the other side closes it.
			io.Copy(io.Discard, reader)
			close(ended)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, failure := pool.Exchange(ctx, server, newRequest("one", "x"), "one")
		assert.Assert(t, failure != nil && failure.MaybeSent, "%q", text)
		assert.NilError(t, ctx.Err(), "%q", text)
		<-ended
		cancel()
	}
}

// TestGivenUpRequestIsReset guards against a request that runs long after its caller got the answer that
// it was given up: the system delivers what a cut link holds up unless the connection is reset.
func TestGivenUpRequestIsReset(t *testing.T) {
	for name, respond := range map[string]string{
		"without a response":       "",
		"in the middle of a body":  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 300<<10),
		"at the end of a response": responseText("r1", "own"),
	} {
		ended := make(chan error, 1)
		received := make(chan struct{})
		pool, server := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
			request, err := http.ReadRequest(reader)
			if err == nil {
				_, err = io.Copy(io.Discard, request.Body)
			}
			if err == nil {
				_, err = io.WriteString(conn, respond)
			}
			close(received)
			if err == nil {
				_, err = reader.ReadByte()
			}
			ended <- err
		})
		ctx, cancel := context.WithCancel(t.Context())
		if respond == "" {
			serverGoroutines.Go(func() {
				<-received
				cancel()
			})
			_, failure := pool.Exchange(ctx, server, newRequest("r1", "x"), "r1")
			assert.Assert(t, failure != nil)
		} else {
			response, failure := pool.Exchange(ctx, server, newRequest("r1", "x"), "r1")
			assert.Assert(t, failure == nil)
			cancel()
			response.Release()
		}
		assert.Assert(t, errors.Is(<-ended, syscall.ECONNRESET), "%s", name)
	}
}
