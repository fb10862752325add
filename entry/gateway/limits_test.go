package gateway_test

import (
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

// TestWatch closes connections that are idle or slow to send a head for longer
// than the configuration in force says, and none with a request in flight.
func TestWatch(t *testing.T) {
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
				watch := &gateway.Watch{
					Configuration: func() *routing.Configuration { return conf },
				}
				near, far := net.Pipe()
				defer far.Close()
				began := time.Now()
				for _, state := range test.states {
					watch.Changed(near, state)
				}
				if test.read {
					gateway.HeadRead(watch.Context(t.Context(), near))
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
