package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/gateway"
	"github.com/teaselstack/teaselstack/entry/pipeline"
	"github.com/teaselstack/teaselstack/routing"
)

// TestConnLimiterMaxConns checks that a new connection beyond the maximum closes the
// connection that has been idle longest, and none with a request in flight.
func TestConnLimiterMaxConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &gateway.ConnLimiter{
			Configuration: func() *routing.Configuration { return nil },
			MaxConns:      func() int { return 3 },
		}
		var callerConns, entryConns []net.Conn
		open := func(states ...http.ConnState) {
			entryConn, callerConn := net.Pipe()
			entryConns, callerConns = append(entryConns, entryConn), append(callerConns, callerConn)
			for _, state := range states {
				limiter.ConnState(entryConn, state)
			}
			time.Sleep(time.Second)
		}
		open(http.StateNew, http.StateActive)
		open(http.StateNew, http.StateActive, http.StateIdle)
		open(http.StateNew)
		open(http.StateNew, http.StateActive, http.StateIdle)
		open(http.StateNew, http.StateActive)
		assert.DeepEqual(t, closedByPeer(callerConns), []bool{false, true, true, false, false})
		// A state change of connection 1, which was closed, has no effect. Connection 3
		// gets a request, so that no connection is idle and the next one closes none.
		limiter.ConnState(entryConns[1], http.StateClosed)
		limiter.ConnState(entryConns[3], http.StateActive)
		open(http.StateNew, http.StateActive)
		assert.DeepEqual(t, closedByPeer(callerConns), []bool{false, true, true, false, false, false})
		for i, state := range []http.ConnState{http.StateClosed, http.StateIdle} {
			limiter.ConnState(entryConns[3*i], state)
		}
		open(http.StateNew, http.StateActive)
		assert.DeepEqual(t, closedByPeer(callerConns), []bool{false, true, true, true, false, false, false})
		for _, conn := range entryConns {
			limiter.ConnState(conn, http.StateClosed)
			conn.Close()
		}
	})
}

// closedByPeer reports for each connection whether its other end was closed.
func closedByPeer(conns []net.Conn) []bool {
	closed := make([]bool, len(conns))
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		closed[i] = errors.Is(err, io.EOF)
	}
	return closed
}

// TestConnLimiterTimeouts checks that connections that exceed the configured idle or
// header timeout are closed, and none with a request in flight.
func TestConnLimiterTimeouts(t *testing.T) {
	tests := []struct {
		name   string
		states []http.ConnState
		// headerRead reports whether the request's header was read.
		headerRead bool
		// openFor is how long the connection stays open; 0 means until the test
		// closes it.
		openFor time.Duration
	}{
		{
			name:    "new connection without a request",
			states:  []http.ConnState{http.StateNew},
			openFor: 15 * time.Second,
		},
		{
			name:    "idle",
			states:  []http.ConnState{http.StateNew, http.StateActive, http.StateIdle},
			openFor: 15 * time.Second,
		},
		{
			name:    "slow header",
			states:  []http.ConnState{http.StateNew, http.StateActive},
			openFor: 3 * time.Second,
		},
		{
			name:       "request in flight",
			states:     []http.ConnState{http.StateNew, http.StateActive},
			headerRead: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conf := routing.NewConfiguration(1, nil, routing.Limits{
					HeaderTimeout: 3 * time.Second,
					IdleTimeout:   15 * time.Second,
				}, nil)
				limiter := &gateway.ConnLimiter{
					Configuration: func() *routing.Configuration { return conf },
				}
				entryConn, callerConn := net.Pipe()
				defer callerConn.Close()
				began := time.Now()
				for _, state := range test.states {
					limiter.ConnState(entryConn, state)
				}
				if test.headerRead {
					gateway.StopHeaderTimeout(limiter.ConnContext(t.Context(), entryConn))
				}
				time.AfterFunc(time.Minute, func() { entryConn.Close() })
				io.Copy(io.Discard, callerConn)
				stayed := time.Since(began)
				if test.openFor == 0 {
					test.openFor = time.Minute
				}
				assert.Equal(t, stayed, test.openFor)
			})
		})
	}
}

// TestHeaderOutlastsIdleTimeout guards against connections that the idle timeout closes while a
// request's header is received. The header timeout closes those.
func TestHeaderOutlastsIdleTimeout(t *testing.T) {
	for _, first := range []string{"Content-Length: 5\r\n\r\noffer", "Transfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			conf := routing.NewConfiguration(1, nil, routing.Limits{
				HeaderTimeout: 3 * time.Second,
				IdleTimeout:   5 * time.Second,
			}, nil)
			limiter := &gateway.ConnLimiter{
				Configuration: func() *routing.Configuration { return conf },
			}
			handler := &pipeline.Handler{
				Next:         http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { io.Copy(io.Discard, request.Body) }),
				Idempotent:   func(*http.Request) bool { return false },
				ShuttingDown: func() bool { return false },
				RequestBegan: limiter.RequestBegan,
				HeaderRead:   gateway.StopHeaderTimeout,
				Logger: &log.Logger{
					Writer: log.IOWriter{
						Writer: io.Discard,
					},
				},
			}
			server := &http.Server{
				Handler:   handler,
				ConnState: limiter.ConnState,
				ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
					return handler.ConnContext(limiter.ConnContext(ctx, conn), conn)
				},
			}
			listener := &pipeListener{
				conns: make(chan net.Conn, 1),
				done:  make(chan struct{}),
			}
			var group sync.WaitGroup
			group.Go(func() { _ = server.Serve(handler.Listener(listener)) })
			entryConn, callerConn := net.Pipe()
			listener.conns <- entryConn
			reader := bufio.NewReader(callerConn)
			for _, rest := range []string{first, "Content-Length: 5\r\n\r\noffer"} {
				io.WriteString(callerConn, "POST /book/1 HTTP/1.1\r\n")
				time.Sleep(2 * time.Second)
				io.WriteString(callerConn, "Host: desk.example\r\n"+rest)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				time.Sleep(4 * time.Second)
			}
			io.WriteString(callerConn, "POST /book/1 HTTP/1.1\r\n")
			began := time.Now()
			_, err := reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, time.Since(began), 3*time.Second)
			server.Close()
			group.Wait()
		})
	}
}

// TestReceivedRequestKeepsConnectionOpen guards against connections that the idle timeout or the
// maximum number closes although a request has arrived on them, which a late entry hasn't read yet.
func TestReceivedRequestKeepsConnectionOpen(t *testing.T) {
	conf := routing.NewConfiguration(1, nil, routing.Limits{
		IdleTimeout: 300 * time.Millisecond,
	}, nil)
	for _, limiter := range []*gateway.ConnLimiter{
		{
			Configuration: func() *routing.Configuration { return conf },
		},
		{
			Configuration: func() *routing.Configuration { return nil },
			MaxConns:      func() int { return 2 },
		},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		accepted := (&pipeline.Handler{}).Listener(listener)
		var callerConns []net.Conn
		for _, sent := range []string{"POST", "", ""} {
			callerConn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer callerConn.Close()
			_, err = io.WriteString(callerConn, sent)
			assert.NilError(t, err)
			entryConn, err := accepted.Accept()
			assert.NilError(t, err)
			limiter.ConnState(entryConn, http.StateNew)
			callerConns = append(callerConns, callerConn)
		}
		assert.NilError(t, callerConns[1].SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = callerConns[1].Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.NilError(t, callerConns[0].SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		_, err = callerConns[0].Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}
