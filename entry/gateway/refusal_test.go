package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

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

// TestRequestsThatOutlastShutdownAreRefused checks that an entry whose shutdown ends soon serves
// a request only if its deadline is before that, and refuses the others at once: they can be
// retried through another entry.
func TestRequestsThatOutlastShutdownAreRefused(t *testing.T) {
	for _, test := range []struct {
		name       string
		deadlineMS string
		untilEnd   time.Duration
		want       int
	}{
		{
			name:       "no shutdown",
			deadlineMS: "4000",
			want:       http.StatusOK,
		},
		{
			name:       "deadline of the caller before the end",
			deadlineMS: "500",
			untilEnd:   time.Second,
			want:       http.StatusOK,
		},
		{
			name:       "timeout of the route before the end",
			deadlineMS: "4000",
			untilEnd:   2500 * time.Millisecond,
			want:       http.StatusOK,
		},
		{
			name:       "deadline behind the end",
			deadlineMS: "1100",
			untilEnd:   time.Second,
			want:       http.StatusServiceUnavailable,
		},
		{
			name:       "wait for the server's answer at the deadline behind the end",
			deadlineMS: "900",
			untilEnd:   time.Second,
			want:       http.StatusServiceUnavailable,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, respondOK, []string{"a", "b"}, func(t *testing.T, h *harness) {
				var end time.Time
				if test.untilEnd > 0 {
					end = time.Now().Add(test.untilEnd)
				}
				h.gateway.ResponsesDue = func() time.Time { return end }
				request := newRequest(http.MethodPost, "/book/1", "r1", "offer")
				request.Header.Set(headerNames.DeadlineMS, test.deadlineMS)
				response, aborted := h.send(request)
				assert.Assert(t, !aborted)
				assert.Equal(t, response.Code, test.want)
				if test.want == http.StatusOK {
					return
				}
				assert.Equal(t, h.receivedCount(), 0)
				wait, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, wait < 0.1, "%g s", wait)
			})
		})
	}
}
