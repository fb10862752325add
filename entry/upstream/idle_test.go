package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/routing"
)

// socketConn is a connection in memory, on the paused clock, whose state shows on a socket.
type socketConn struct {
	net.Conn
	state socketState
}

// SyscallConn implements syscall.Conn.
func (c *socketConn) SyscallConn() (syscall.RawConn, error) { return c.state, nil }

// socketState is a socket. It implements syscall.RawConn.
type socketState int

// Control calls f with the socket.
func (s socketState) Control(f func(fd uintptr)) error {
	f(uintptr(s))
	return nil
}

// Read calls f with the socket once.
func (s socketState) Read(f func(fd uintptr) bool) error {
	f(uintptr(s))
	return nil
}

// Write calls f with the socket once.
func (s socketState) Write(f func(fd uintptr) bool) error {
	f(uintptr(s))
	return nil
}

// TestClosedIdleConnIsReported guards against a server that starts again unnoticed while no request is
// in flight: only its idle connections show it. They show nothing if the server has not stated how
// long it keeps them, and has not been seen to keep one as long. Once the server may have started
// again, the pool opens no connection to it.
func TestClosedIdleConnIsReported(t *testing.T) {
	for _, test := range []struct {
		name      string
		keepAlive string
		kept      time.Duration
		reported  bool
	}{
		{
			name:      "stated time-out",
			keepAlive: "Keep-Alive: timeout=10\r\n",
			reported:  true,
		},
		{
			name:     "longer kept before",
			kept:     2 * time.Second,
			reported: true,
		},
		{
			name: "not so long kept before",
			kept: 500 * time.Millisecond,
		},
		{
			name: "none kept before",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testClosedIdleConn(t, test.keepAlive, test.kept, test.reported) })
		})
	}
}

// testClosedIdleConn closes a connection that was idle for a second. Another one was kept for some time
// before, unless that is 0.
func testClosedIdleConn(t *testing.T, keepAlive string, kept time.Duration, wantReport bool) {
	var group sync.WaitGroup
	var sockets []int
	var reported time.Time
	opened := 0
	pool := &upstream.Pool{
		HeaderNames: header.Names{
			RequestID: "X-Id",
		},
		MaxIdlePerServer: func(string) int { return 4 },
		OnOpened:         func(*routing.Server) { opened++ },
		OnClosed:         func(_ *routing.Server, openedAt time.Time) { reported = openedAt },
		Usable:           func(*routing.Server) (from, before time.Time) { return time.Time{}, reported },
		Dial: func(context.Context, string) (net.Conn, error) {
			pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
			if err != nil {
				return nil, err
			}
			sockets = append(sockets, pair[1])
			entryConn, serverConn := net.Pipe()
			group.Go(func() { serveIdle(serverConn, keepAlive) })
			return &socketConn{
				Conn:  entryConn,
				state: socketState(pair[0]),
			}, nil
		},
	}
	server := &routing.Server{
		ID: "a",
	}
	exchange := func(id string, opts ...upstream.Option) (openedAt time.Time, failure *upstream.Failure) {
		response, failure := pool.Exchange(t.Context(), server, newRequest(id, "x"), id, opts...)
		if failure == nil {
			openedAt = response.OpenedAt
			response.Release()
		}
		return openedAt, failure
	}
	openedAt, failure := exchange("r1")
	assert.Assert(t, failure == nil)
	if kept > 0 {
		time.Sleep(kept)
		_, failure = exchange("r2")
		assert.Assert(t, failure == nil)
	}
	time.Sleep(time.Second)
	assert.Assert(t, pool.Connected(server.Incarnation(), openedAt, openedAt.Add(1)))
	assert.Assert(t, !pool.Connected(server.Incarnation(), time.Time{}, openedAt))
	assert.NilError(t, syscall.Close(sockets[0]))
	_, failure = exchange("r3")
	if wantReport {
		assert.Equal(t, reported, openedAt)
		assert.Assert(t, failure != nil && failure.NoConnection && errors.Is(failure.Err, upstream.ErrServerUnverified))
		assert.Equal(t, opened, 1)
		_, failure = exchange("r4", upstream.ToAnyProcess())
	}
	assert.Assert(t, failure == nil)
	assert.Equal(t, opened, 2)
	assert.Equal(t, reported.IsZero(), !wantReport)
	pool.CloseStale(func(routing.Incarnation) bool { return false })
	group.Wait()
}

// serveIdle responds to the requests on a connection until it is closed.
func serveIdle(conn net.Conn, keepAlive string) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n", request.Header.Get("X-Id"), keepAlive); err != nil {
			return
		}
	}
}
