package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestPromiseOfServerThatMayHaveRun guards against callers that are told that a request has not run,
// because a server answers a request that it has run with such a status: without the header that
// says so, with or without a stamp, a Retry-After or the whole body of the request. A statement that
// the request has not run still reaches them as one.
func TestPromiseOfServerThatMayHaveRun(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, path := range []string{"/book/1", "/browse/1"} {
		for _, status := range promises {
			for _, extra := range []string{"", "X-Stamp: s\r\n", "X-Stamp: s\r\nRetry-After: 1\r\n", "X-Not-Executed: 1\r\n", "X-Not-Executed: 1\r\nRetry-After: 1\r\n"} {
				// Another server at the address answers 421, without a stamp.
				notRun := strings.HasPrefix(extra, "X-Not-Executed") || status == http.StatusMisdirectedRequest && extra == ""
				respond := func(h *harness, _ string, conn net.Conn, request *http.Request) bool {
					if !notRun {
						h.recordRun(request)
					}
					_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Id: r1\r\n%sContent-Length: 4\r\n\r\nbusy", status, http.StatusText(status), extra)
					return err == nil
				}
				withHarness(t, respond, []string{"a", "b", "c"}, func(t *testing.T, h *harness) {
					response, aborted := h.send(newRequest(http.MethodPost, path, "r1", "x"))
					assert.Assert(t, !aborted)
					if notRun {
						assert.Equal(t, response.Code, http.StatusServiceUnavailable, "%d %q", status, extra)
						assert.Assert(t, response.Header().Get("Retry-After") != "")
						return
					}
					assert.Equal(t, response.Code, http.StatusBadGateway, "%s %d %q", path, status, extra)
					assert.Equal(t, response.Header().Get("Retry-After"), "")
					assert.Equal(t, response.Header().Get(headerNames.ResponseStamp), "")
					if path == "/book/1" {
						assert.Equal(t, h.runCount("r1"), 1)
					}
				})
			}
		}
	}
}

// TestStatementOutlivesCutBody guards against a request that fails although no server has run it,
// because a server's statement that says so comes with a body that breaks off.
func TestStatementOutlivesCutBody(t *testing.T) {
	for _, head := range []string{"503 Service Unavailable\r\nX-Not-Executed: 1", "421 Misdirected Request"} {
		for _, framing := range []string{"Content-Length: 9\r\n\r\nbusy", "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n"} {
			for _, servers := range [][]string{{"a"}, {"a", "b"}} {
				refused := 0
				refuseOnce := func(h *harness, server string, conn net.Conn, request *http.Request) bool {
					if refused++; refused > 1 {
						return respondOK(h, server, conn, request)
					}
					io.WriteString(conn, "HTTP/1.1 "+head+"\r\nX-Id: r1\r\n"+framing)
					return false
				}
				withHarness(t, refuseOnce, servers, func(t *testing.T, h *harness) {
					response, aborted := h.send(newRequest(http.MethodPost, "/book/1", "r1", "x"))
					assert.Assert(t, !aborted)
					want := http.StatusOK
					if len(servers) == 1 {
						want = http.StatusServiceUnavailable
					}
					assert.Equal(t, response.Code, want, "%s, %s", head, framing)
				})
			}
		}
	}
}

// TestStalledUploadIsNoPromise guards against a caller that is told by 408 that its upload has not
// run, although a server has got a part of it before the caller stalled.
func TestStalledUploadIsNoPromise(t *testing.T) {
	for _, sent := range []int{100, 600_000} {
		withHarness(t, respondOK, []string{"a"}, func(t *testing.T, h *harness) {
			request := newRequest(http.MethodPost, "/book/1", "r1", "")
			request.ContentLength = 700_000
			request.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", sent)), iotest.ErrReader(os.ErrDeadlineExceeded)))
			response, aborted := h.send(request)
			assert.Assert(t, !aborted)
			want := http.StatusRequestTimeout
			if sent > 512<<10 {
				want = http.StatusGatewayTimeout
			}
			assert.Equal(t, response.Code, want, "%d bytes before the stall", sent)
		})
	}
}
