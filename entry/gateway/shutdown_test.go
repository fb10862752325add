package gateway_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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

// TestRequestsInFlightAtTheEndAreAnswered checks that a request that is in flight when the process
// is about to end gets an answer at once, which doesn't claim that it has not run, and that its
// server is not suspected of anything.
func TestRequestsInFlightAtTheEndAreAnswered(t *testing.T) {
	slow := func(_ *harness, _ string, conn net.Conn, _ *http.Request) bool {
		// Until the gateway closes the connection.
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	for _, path := range []string{"/book/1", "/browse/1"} {
		withHarness(t, slow, []string{"a", "b"}, func(t *testing.T, h *harness) {
			ending, giveUp := context.WithCancel(t.Context())
			h.gateway.Ending = ending
			time.AfterFunc(time.Second, giveUp)
			began := time.Now()
			response, aborted := h.send(newRequest(http.MethodPost, path, "r1", "offer"))
			assert.Assert(t, !aborted)
			assert.Equal(t, response.Code, http.StatusBadGateway)
			assert.Equal(t, response.Body.String(), "stopping\n")
			assert.Equal(t, time.Since(began), time.Second)
			assert.Equal(t, h.receivedCount(), 1)
			h.restart("a")
			h.restart("b")
			assert.Equal(t, len(h.gateway.Quarantine.Suspects()), 0)
		})
	}
}
