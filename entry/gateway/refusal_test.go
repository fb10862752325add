package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRetryAfter checks that Retry-After is short if servers shed the request in spite
// of free slots or were replaced, and other servers are left. Otherwise it is about as
// long as a request takes, because a slot may be free by then.
func TestRetryAfter(t *testing.T) {
	shed := func(load string) serverHandler {
		return func(_ *harness, _ string, conn net.Conn, request *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+headerNames.NotExecuted+": 1\r\n"+headerNames.Load+": "+load+"\r\n"+
				headerNames.RequestID+": "+request.Header.Get(headerNames.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
	}
	replaced := func(_ *harness, _ string, conn net.Conn, request *http.Request) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\n"+
			headerNames.RequestID+": "+request.Header.Get(headerNames.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	for name, test := range map[string]struct {
		servers     []string
		handler     serverHandler
		retryAtOnce bool
	}{
		"servers with room": {
			servers:     []string{"a", "b", "c"},
			handler:     shed("0, 0, 3"),
			retryAtOnce: true,
		},
		"full servers": {
			servers: []string{"a", "b", "c"},
			handler: shed("3, 4, 3"),
		},
		"replaced servers": {
			servers:     []string{"a", "b", "c"},
			handler:     replaced,
			retryAtOnce: true,
		},
		"no other server": {
			servers: []string{"a"},
			handler: replaced,
		},
		"no server": {
			handler: respondOK,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, test.handler, test.servers, func(t *testing.T, h *harness) {
				response, aborted := h.send(newRequest(http.MethodPost, "/book/1", "r1", "x"))
				assert.Assert(t, !aborted)
				assert.Equal(t, response.Code, http.StatusServiceUnavailable)
				wait, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Equal(t, wait < 0.1, test.retryAtOnce, "%g s", wait)
			})
		})
	}
}
