package gateway_test

import (
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// retryAfterField matches the field of a log line that holds the Retry-After time,
// which is jittered.
var retryAfterField = regexp.MustCompile(`"retry-after-ms":\d+`)

// TestLogLines compares the log lines of a request with the golden files
// testdata/lines-NAME.golden. Each attempt and each refusal must be logged with the data
// on which the decision was based, and each failed attempt and response with its outcome.
func TestLogLines(t *testing.T) {
	for name, test := range map[string]struct {
		method  string
		path    string
		servers []string
		handler serverHandler
	}{
		"answered": {
			method:  http.MethodGet,
			path:    "/browse/1",
			servers: []string{"a", "b"},
			handler: respondOK,
		},
		"repeated": {
			method:  http.MethodGet,
			path:    "/browse/1",
			servers: []string{"a", "b"},
			handler: dropFirstResponse,
		},
		"lost-answer": {
			method:  http.MethodPost,
			path:    "/book/1",
			servers: []string{"a", "b"},
			handler: dropFirstResponse,
		},
		"shed": {
			method:  http.MethodPost,
			path:    "/book/1",
			servers: []string{"a", "b"},
			handler: func(_ *harness, _ string, conn net.Conn, request *http.Request) bool {
				// The load header says 0 running requests, 0 waiting and 3 slots.
				_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+headerNames.NotExecuted+": 1\r\n"+headerNames.Load+": 0, 0, 3\r\n"+
					headerNames.RequestID+": "+request.Header.Get(headerNames.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			},
		},
		"unconfirmed-refusal": {
			method:  http.MethodPost,
			path:    "/book/1",
			servers: []string{"a", "b"},
			handler: func(_ *harness, _ string, conn net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Id: r1\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			},
		},
		"unconnected": {
			method: http.MethodPost,
			path:   "/book/1",
			// The harness refuses connections to servers whose IDs begin with "dead".
			servers: []string{"dead-a", "dead-b"},
			handler: respondOK,
		},
		"no-server": {
			method:  http.MethodPost,
			path:    "/book/1",
			handler: respondOK,
		},
		"no-route": {
			method:  http.MethodPost,
			path:    "/elsewhere/1",
			handler: respondOK,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, test.handler, test.servers, func(t *testing.T, h *harness) {
				_, aborted := h.send(newRequest(test.method, test.path, "r1", "x"))
				assert.Assert(t, !aborted, "the response to the caller broke off")
				golden.Assert(t, retryAfterField.ReplaceAllString(h.logOutput.String(), `"retry-after-ms":0`), "lines-"+name+".golden")
			})
		})
	}
}

// TestSendIsLoggedBeforeOutcome checks that an attempt is in the log when the server
// gets the request. The log thus has the attempt even if the entry is killed before the
// response.
func TestSendIsLoggedBeforeOutcome(t *testing.T) {
	logged := ""
	recordLog := func(h *harness, server string, conn net.Conn, request *http.Request) bool {
		logged = h.logOutput.String()
		return respondOK(h, server, conn, request)
	}
	withHarness(t, recordLog, []string{"a"}, func(t *testing.T, h *harness) {
		h.send(newRequest(http.MethodPost, "/book/1", "r1", "x"))
		assert.Assert(t, regexp.MustCompile(`"event":"sent","id":"r1".*"server":"a"`).MatchString(logged), "no \"sent\" event for server a when the server got the request; log: %s", logged)
	})
}
