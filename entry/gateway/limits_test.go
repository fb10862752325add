package gateway_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/gateway"
	"github.com/teaselstack/teaselstack/routing"
)

// TestConnLimiterMaxConns: with more connections than an entry has descriptors for, those
// that have been idle longest are closed, and none with a request in flight.
func TestConnLimiterMaxConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watch := &gateway.ConnLimiter{
			Configuration: func() *routing.Configuration { return nil },
			MaxConns:      func() int { return 3 },
		}
		var far, near []net.Conn
		open := func(states ...http.ConnState) {
			ours, theirs := net.Pipe()
			near, far = append(near, ours), append(far, theirs)
			for _, state := range states {
				watch.ConnState(ours, state)
			}
			time.Sleep(time.Second)
		}
		open(http.StateNew, http.StateActive)
		open(http.StateNew, http.StateActive, http.StateIdle)
		open(http.StateNew)
		open(http.StateNew, http.StateActive, http.StateIdle)
		open(http.StateNew, http.StateActive)
		assert.DeepEqual(t, closed(far), []bool{false, true, true, false, false})
		// What the server reports of connections that were closed changes nothing.
		watch.ConnState(near[1], http.StateClosed)
		watch.ConnState(near[3], http.StateActive)
		open(http.StateNew, http.StateActive)
		assert.DeepEqual(t, closed(far), []bool{false, true, true, false, false, false})
		for i, state := range []http.ConnState{http.StateClosed, http.StateIdle} {
			watch.ConnState(near[3*i], state)
		}
		open(http.StateNew, http.StateActive)
		assert.DeepEqual(t, closed(far), []bool{false, true, true, true, false, false, false})
		for _, conn := range near {
			watch.ConnState(conn, http.StateClosed)
			conn.Close()
		}
	})
}

// closed tells which connections have been closed at their other end.
func closed(conns []net.Conn) []bool {
	ended := make([]bool, len(conns))
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		ended[i] = errors.Is(err, io.EOF)
	}
	return ended
}

// TestConnLimiterTimeouts closes connections that are idle or slow to send a head for longer
// than the configuration in force says, and none with a request in flight.
func TestConnLimiterTimeouts(t *testing.T) {
	tests := []struct {
		name   string
		states []http.ConnState
		// read says that the request's head was read.
		read bool
		// open is how long the connection stays open; 0 for as long as it is watched.
		open time.Duration
	}{
		{
			name:   "no request at all",
			states: []http.ConnState{http.StateNew},
			open:   15 * time.Second,
		},
		{
			name:   "idle",
			states: []http.ConnState{http.StateNew, http.StateActive, http.StateIdle},
			open:   15 * time.Second,
		},
		{
			name:   "a slow head",
			states: []http.ConnState{http.StateNew, http.StateActive},
			open:   3 * time.Second,
		},
		{
			name:   "a request in flight",
			states: []http.ConnState{http.StateNew, http.StateActive},
			read:   true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conf := routing.NewConfiguration(1, nil, routing.Limits{
					HeaderTimeout: 3 * time.Second,
					IdleTimeout:   15 * time.Second,
				}, nil)
				watch := &gateway.ConnLimiter{
					Configuration: func() *routing.Configuration { return conf },
				}
				near, far := net.Pipe()
				defer far.Close()
				began := time.Now()
				for _, state := range test.states {
					watch.ConnState(near, state)
				}
				if test.read {
					gateway.StopHeaderTimeout(watch.ConnContext(t.Context(), near))
				}
				time.AfterFunc(time.Minute, func() { near.Close() })
				io.Copy(io.Discard, far)
				stayed := time.Since(began)
				if test.open == 0 {
					test.open = time.Minute
				}
				assert.Equal(t, stayed, test.open)
			})
		})
	}
}
