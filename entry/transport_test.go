package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/settings"
	"github.com/teaselstack/teaselstack/logline"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

// TestResponseHeaderWithoutEndIsBounded guards against an entry that runs out of memory because
// faulty backend servers send headers without end: what it keeps of one must be far less than its
// share of the smallest VM's memory while requests are in flight at a hundred of them.
func TestResponseHeaderWithoutEndIsBounded(t *testing.T) {
	const maxReceived = 1 << 20
	loaded := settings.Default()
	var store memory.Store
	n := newNodeOnPlatform(loaded, logline.New(io.Discard, "entry", "entry-1"),
		func(http.RoundTripper) platform.Platform { return store.Platform() })
	for name, filler := range map[string]string{
		"header field":      strings.Repeat("x", 100),
		"header fields":     "X-Junk: 1\r\n",
		"interim responses": "\r\nHTTP/1.1 102 Processing\r\nX-Junk: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var group sync.WaitGroup
			received := 0
			transport := n.newTransport()
			transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
				entryEnd, serverEnd := net.Pipe()
				group.Go(func() {
					defer serverEnd.Close()
					// The transport sends its request while the server responds.
					group.Go(func() { _, _ = io.Copy(io.Discard, serverEnd) })
					begin := "HTTP/1.1 200 OK\r\nX-Junk: 1"
					if name == "interim responses" {
						begin = "HTTP/1.1 102 Processing\r\nX-Junk: 1\r\n"
					}
					_, err := io.WriteString(serverEnd, begin)
					for err == nil {
						var count int
						count, err = io.WriteString(serverEnd, filler)
						received += count
						if received > 64<<20 {
							return
						}
					}
				})
				return entryEnd, nil
			}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", http.NoBody)
			assert.NilError(t, err)
			response, err := transport.RoundTrip(request)
			if err == nil {
				response.Body.Close()
			}
			assert.Assert(t, err != nil)
			group.Wait()
			assert.Assert(t, received <= maxReceived, "%d bytes were received", received)
		})
	}
}
