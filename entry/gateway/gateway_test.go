package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/routing"
)

// withHarness runs a test in a synctest bubble, with a gateway and servers that handler
// simulates.
func withHarness(t *testing.T, handler serverHandler, servers []string, test func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, handler, servers...)
		defer h.close()
		test(t, h)
	})
}

// dropFirstResponse runs each request, but closes the connection instead of responding
// to the first one.
func dropFirstResponse(h *harness, server string, conn net.Conn, request *http.Request) bool {
	h.recordRun(request)
	time.Sleep(100 * time.Millisecond)
	return h.receivedCount() > 1 && respondOK(h, server, conn, request)
}

// TestServerResponseIsForwardedUnchanged checks that the caller gets the status, header
// and body of the server's response, and that the server gets the caller's request.
func TestServerResponseIsForwardedUnchanged(t *testing.T) {
	withHarness(t, respondOK, []string{"a", "b"}, func(t *testing.T, h *harness) {
		response, aborted := h.send(newRequest(http.MethodPost, "/book/1?seat=2", "r1", "offer"))
		assert.Assert(t, !aborted)
		assert.Equal(t, response.Code, http.StatusOK)
		assert.Equal(t, response.Body.String(), "whole")
		assert.Equal(t, response.Header().Get(headerNames.ResponseStamp), "sound")
		for server, requests := range h.receivedRequests() {
			assert.Equal(t, requests[0].RequestURI, "/book/1?seat=2")
			assert.Equal(t, requests[0].Host, "desk.example")
			assert.Equal(t, requests[0].Header.Get(headerNames.TargetServer), server)
			assert.Equal(t, requests[0].Header.Get(headerNames.RequestID), "r1")
			body, err := io.ReadAll(requests[0].Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "offer")
		}
	})
}

// TestHeadResponseKeepsItsLength checks that the caller of a HEAD request gets the length that a
// server's response states.
func TestHeadResponseKeepsItsLength(t *testing.T) {
	respondHead := func(_ *harness, _ string, conn net.Conn, request *http.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: sound\r\nContent-Length: 17\r\n\r\n", request.Header.Get("X-Id"))
		return err == nil
	}
	withHarness(t, respondHead, []string{"a"}, func(t *testing.T, h *harness) {
		response, aborted := h.send(newRequest(http.MethodHead, "/browse/1", "r1", ""))
		assert.Assert(t, !aborted)
		assert.Equal(t, response.Code, http.StatusOK)
		assert.Equal(t, response.Header().Get("Content-Length"), "17")
		assert.Equal(t, response.Body.Len(), 0)
	})
}

// TestTruncatedResponses closes the connection after each number of bytes of a server's
// response that is less than the whole. The caller must never get a truncated success,
// and a request that is not idempotent must not be retried.
func TestTruncatedResponses(t *testing.T) {
	whole := okResponse(newRequest(http.MethodGet, "/", "r1", ""), "whole")
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := "/browse/1"
		if method == http.MethodPost {
			path = "/book/1"
		}
		for end := range len(whole) {
			first := true
			cutOnce := func(h *harness, _ string, conn net.Conn, request *http.Request) bool {
				h.recordRun(request)
				if first {
					first = false
					io.WriteString(conn, whole[:end])
					return false
				}
				return respondOK(h, "", conn, request)
			}
			withHarness(t, cutOnce, []string{"a", "b"}, func(t *testing.T, h *harness) {
				response, aborted := h.send(newRequest(method, path, "r1", "x"))
				assert.Assert(t, !aborted)
				if method == http.MethodGet {
					assert.Equal(t, response.Code, http.StatusOK, "cut behind byte %d", end)
					assert.Equal(t, response.Body.String(), "whole")
					return
				}
				assert.Equal(t, response.Code, http.StatusBadGateway, "cut behind byte %d", end)
				assert.Equal(t, h.receivedCount(), 1)
			})
		}
	}
}

// TestUnsolicitedResponseIsNotForwarded lets a server send each response twice: the
// second time immediately after the first, or immediately before the response to the next
// request. No caller must get the response to another request.
func TestUnsolicitedResponseIsNotForwarded(t *testing.T) {
	for _, delayed := range []bool{false, true} {
		var pending string
		respondTwice := func(h *harness, _ string, conn net.Conn, request *http.Request) bool {
			h.recordRun(request)
			response := okResponse(request, "own "+request.Header.Get(headerNames.RequestID))
			content := pending + response
			if !delayed {
				content += response
			}
			pending = ""
			if delayed {
				pending = response
			}
			_, err := io.WriteString(conn, content)
			return err == nil
		}
		withHarness(t, respondTwice, []string{"a"}, func(t *testing.T, h *harness) {
			for i := range 6 {
				id := fmt.Sprintf("r%d", i)
				response, aborted := h.send(newRequest(http.MethodPost, "/book/1", id, "x"))
				assert.Assert(t, !aborted)
				if response.Code == http.StatusOK {
					assert.Equal(t, response.Body.String(), "own "+id)
				}
				assert.Equal(t, h.runCount(id), 1)
			}
		})
	}
}

// TestRepeatedRefusalIsNotForwarded guards against callers that are told that a request has not
// run, and against a second run at another server, because a server sends an earlier refusal
// once more on a kept connection: before the response to the next request or in place of it,
// also without an ID.
func TestRepeatedRefusalIsNotForwarded(t *testing.T) {
	for _, withID := range []bool{true, false} {
		for _, breaksOff := range []bool{true, false} {
			refused := ""
			refuseFirst := func(h *harness, _ string, conn net.Conn, request *http.Request) bool {
				id := request.Header.Get(headerNames.RequestID)
				if refused == "" {
					refused = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
					if withID {
						refused += "X-Id: " + id + "\r\n"
					}
					refused += "\r\n"
					first := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
					_, err := io.WriteString(conn, first)
					return err == nil
				}
				h.recordRun(request)
				if _, err := io.WriteString(conn, refused); err != nil || breaksOff {
					return false
				}
				_, err := io.WriteString(conn, okResponse(request, "own"))
				return err == nil
			}
			withHarness(t, refuseFirst, []string{"a"}, func(t *testing.T, h *harness) {
				h.send(newRequest(http.MethodPost, "/book/1", "r0", "x"))
				time.Sleep(time.Second)
				response, _ := h.send(newRequest(http.MethodPost, "/book/1", "r1", "x"))
				want := http.StatusOK
				if breaksOff {
					want = http.StatusBadGateway
				}
				assert.Equal(t, response.Code, want, "with ID %t, breaks off %t", withID, breaksOff)
				assert.Equal(t, h.runCount("r1"), 1)
			})
		}
	}
}

// TestHeadThatBreaksOffIsNoResponse guards against a success with an empty or short body, framed
// as whole, because a server closes the connection within the head of its response. Without a
// length, the body would end with the connection.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	for _, framing := range []string{"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: sound\r\n" + framing
		for end := range len(head) + 1 {
			for _, path := range []string{"/browse/1", "/book/1"} {
				cut := func(_ *harness, _ string, conn net.Conn, _ *http.Request) bool {
					_, err := io.WriteString(conn, head[:end])
					return err != nil
				}
				withHarness(t, cut, []string{"a", "b", "c"}, func(t *testing.T, h *harness) {
					response, aborted := h.send(newRequest(http.MethodPost, path, "r1", "x"))
					assert.Assert(t, aborted || response.Code == http.StatusBadGateway, "status %d for a head that ends behind byte %d of %q", response.Code, end, head)
				})
			}
		}
	}
}

// TestRefusals checks the status of the response, the number of requests that the servers
// receive and whether there is a Retry-After header, for several ways in which servers
// fail.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		// response is what each server writes; if it is "", the server closes the
		// connection.
		response string
		method   string
		// path is /browse/1 for GET and /book/1 otherwise if it is "".
		path    string
		servers []string
		status  int
		// attempts is how many times all servers together receive the request.
		attempts int
		// retryAfter reports whether the response has a Retry-After header.
		retryAfter bool
	}{
		{
			name:       "rejected by a full server, retried on another",
			response:   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
			method:     http.MethodPost,
			servers:    []string{"a", "b", "c"},
			status:     http.StatusServiceUnavailable,
			attempts:   2,
			retryAfter: true,
		},
		{
			name:       "address reused by another server",
			response:   "HTTP/1.1 421 Misdirected Request\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
			method:     http.MethodPost,
			servers:    []string{"a", "b", "c"},
			status:     http.StatusServiceUnavailable,
			attempts:   2,
			retryAfter: true,
		},
		{
			name:     "server error forwarded unchanged",
			response: "HTTP/1.1 500 Internal Server Error\r\nX-Stamp: bad\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nbad",
			method:   http.MethodPost,
			servers:  []string{"a", "b"},
			status:   http.StatusInternalServerError,
			attempts: 1,
		},
		{
			name:     "success without a stamp",
			response: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
			method:   http.MethodPost,
			servers:  []string{"a", "b"},
			status:   http.StatusBadGateway,
			attempts: 1,
		},
		{
			name:     "lost response to a request that runs once",
			method:   http.MethodPost,
			servers:  []string{"a", "b"},
			status:   http.StatusBadGateway,
			attempts: 1,
		},
		{
			name:     "lost response to a request that runs once, on a path with an escaped slash",
			method:   http.MethodPost,
			path:     "/book/state%2F1",
			servers:  []string{"a", "b"},
			status:   http.StatusBadGateway,
			attempts: 1,
		},
		{
			name:     "lost responses to a repeatable request",
			method:   http.MethodGet,
			servers:  []string{"a", "b", "c"},
			status:   http.StatusBadGateway,
			attempts: 2,
		},
		{
			name:       "unreachable servers",
			method:     http.MethodPost,
			servers:    []string{"dead-1", "dead-2"},
			status:     http.StatusServiceUnavailable,
			retryAfter: true,
		},
		{
			name:       "no server",
			method:     http.MethodPost,
			status:     http.StatusServiceUnavailable,
			retryAfter: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			write := func(_ *harness, _ string, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, test.response)
				return test.response != ""
			}
			path := "/book/1"
			if test.method == http.MethodGet {
				path = "/browse/1"
			}
			path = cmp.Or(test.path, path)
			withHarness(t, write, test.servers, func(t *testing.T, h *harness) {
				response, aborted := h.send(newRequest(test.method, path, "r1", "x"))
				assert.Assert(t, !aborted)
				assert.Equal(t, response.Code, test.status)
				assert.Equal(t, h.receivedCount(), test.attempts)
				assert.Equal(t, response.Header().Get("Retry-After") != "", test.retryAfter)
			})
		})
	}
}

// TestRequestLimits checks the status of the responses to requests that no route
// matches or that exceed a size limit.
func TestRequestLimits(t *testing.T) {
	tests := []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{
			name:   "unknown path",
			change: func(r *http.Request) { r.RequestURI = "/none/" },
			status: http.StatusNotFound,
		},
		{
			name:   "header too large",
			change: func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 5<<10)) },
			status: http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name: "many short lines without spaces, not too large",
			change: func(r *http.Request) {
				for number := range 640 {
					r.Header.Set(fmt.Sprintf("%03x", number), "")
				}
			},
			status: http.StatusOK,
		},
		{
			name:   "body too large",
			change: func(r *http.Request) { r.ContentLength = 2 << 20 },
			status: http.StatusRequestEntityTooLarge,
		},
		{
			name: "body of unknown length too large",
			change: func(r *http.Request) {
				r.ContentLength = -1
				r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20)))
			},
			status: http.StatusRequestEntityTooLarge,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, respondOK, []string{"a"}, func(t *testing.T, h *harness) {
				request := newRequest(http.MethodPost, "/book/1", "r1", "x")
				test.change(request)
				response, aborted := h.send(request)
				assert.Assert(t, !aborted)
				assert.Equal(t, response.Code, test.status)
			})
		})
	}
}

// TestRouteTimeout checks that the caller gets status 504 when the route's timeout
// expires, and that the server gets that timeout rather than the caller's longer one.
func TestRouteTimeout(t *testing.T) {
	neverRespond := func(h *harness, _ string, conn net.Conn, request *http.Request) bool {
		h.recordRun(request)
		io.Copy(io.Discard, conn)
		return false
	}
	withHarness(t, neverRespond, []string{"a"}, func(t *testing.T, h *harness) {
		began := time.Now()
		response, aborted := h.send(newRequest(http.MethodPost, "/book/1", "r1", "x"))
		assert.Assert(t, !aborted)
		assert.Equal(t, response.Code, http.StatusGatewayTimeout)
		// The entry must respond within 250 ms after the deadline.
		assert.Assert(t, time.Since(began) < 2*time.Second+250*time.Millisecond)
		assert.Equal(t, h.receivedRequests()["a"][0].Header.Get(headerNames.DeadlineMS), "2000")
	})
}

// TestCallerDisconnectEndsServerWork checks that the connection to the server is closed
// when the caller disconnects, so that the server can cancel the request, and that the log
// says that the caller has left, not that the deadline has expired.
func TestCallerDisconnectEndsServerWork(t *testing.T) {
	ended := make(chan time.Time, 1)
	neverRespond := func(_ *harness, _ string, conn net.Conn, _ *http.Request) bool {
		io.Copy(io.Discard, conn)
		ended <- time.Now()
		return false
	}
	withHarness(t, neverRespond, []string{"a"}, func(t *testing.T, h *harness) {
		callerCtx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, disconnect)
		began := time.Now()
		_, aborted := h.send(newRequest(http.MethodGet, "/browse/1", "r1", "").WithContext(callerCtx))
		assert.Assert(t, aborted)
		assert.Equal(t, (<-ended).Sub(began), 300*time.Millisecond)
		assert.Equal(t, strings.Count(h.logOutput.String(), `"reason":"canceled"`), 2, h.logOutput.String())
	})
}

// TestRetryBudget checks that the number of retries stays within the budget while every
// response is lost.
func TestRetryBudget(t *testing.T) {
	closeWithoutResponse := func(*harness, string, net.Conn, *http.Request) bool { return false }
	withHarness(t, closeWithoutResponse, []string{"a", "b", "c", "d", "e", "f"}, func(t *testing.T, h *harness) {
		const requestCount = 200
		for i := range requestCount {
			h.send(newRequest(http.MethodGet, fmt.Sprintf("/browse/%d", i), fmt.Sprintf("r%d", i), ""))
		}
		// The harness allows a ratio of 0.2 and a slack of 20 retries.
		assert.Assert(t, h.receivedCount()-requestCount <= 0.2*requestCount+20)
	})
}

// TestSilentServerKeepsItsRequest lets a server be silent while it runs a request, and while its
// registration is in doubt, is removed or says that it drains.
// The request must not be sent again, also if it is idempotent, and the caller must get the
// late answer.
func TestSilentServerKeepsItsRequest(t *testing.T) {
	respondLate := func(h *harness, server string, conn net.Conn, request *http.Request) bool {
		time.Sleep(1500 * time.Millisecond)
		return respondOK(h, server, conn, request)
	}
	draining := testServer("a", 0)
	draining.Draining = true
	for name, lose := range map[string]func(h *harness){
		"silent":   func(*harness) {},
		"doubtful": func(h *harness) { h.gateway.Fleet.SetDoubtful([]string{"a"}) },
		"removed":  func(h *harness) { h.gateway.Fleet.Remove([]string{"a"}) },
		"draining": func(h *harness) { h.gateway.Fleet.Update([]routing.Server{draining}) },
	} {
		for _, path := range []string{"/browse/1", "/book/1"} {
			withHarness(t, respondLate, []string{"a"}, func(t *testing.T, h *harness) {
				h.group.Go(func() {
					time.Sleep(300 * time.Millisecond)
					lose(h)
					h.gateway.Fleet.Update([]routing.Server{testServer("b", 0)})
				})
				response, aborted := h.send(newRequest(http.MethodPost, path, "r1", "x"))
				assert.Assert(t, !aborted)
				assert.Equal(t, response.Code, http.StatusOK, "%s, %s", name, path)
				assert.Equal(t, h.receivedCount(), 1, "%s, %s", name, path)
			})
		}
	}
}

// TestServerErrorIsForwardedWithoutAlternative checks that the caller gets a server's
// error response, with its status and stamp, if no other server can take a retry.
func TestServerErrorIsForwardedWithoutAlternative(t *testing.T) {
	respondError := func(h *harness, _ string, conn net.Conn, request *http.Request) bool {
		h.recordRun(request)
		_, err := io.WriteString(conn, strings.Replace(okResponse(request, "whole"), "200 OK", "500 Internal Server Error", 1))
		return err == nil
	}
	for _, servers := range [][]string{{"a"}, {"a", "dead-b"}} {
		withHarness(t, respondError, servers, func(t *testing.T, h *harness) {
			for range 4 {
				response, aborted := h.send(newRequest(http.MethodGet, "/browse/1", "r1", ""))
				assert.Assert(t, !aborted)
				if response.Code == http.StatusServiceUnavailable {
					continue
				}
				assert.Equal(t, response.Code, http.StatusInternalServerError)
				assert.Equal(t, response.Header().Get(headerNames.ResponseStamp), "sound")
				assert.Equal(t, response.Body.String(), "whole")
			}
			assert.Assert(t, h.receivedCount() > 0)
		})
	}
}

// TestNoRequestToServerLeavingDuringConnect checks that a server that starts draining
// while a connection to it is being opened gets no request on that connection.
func TestNoRequestToServerLeavingDuringConnect(t *testing.T) {
	withHarness(t, respondOK, []string{"a", "b"}, func(t *testing.T, h *harness) {
		var leaving string
		dial := h.gateway.Pool.Dial
		h.gateway.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if leaving == "" {
				leaving = address
				time.Sleep(600 * time.Millisecond)
				server := testServer(address, 0)
				server.Draining = true
				h.gateway.Fleet.Update([]routing.Server{server})
			}
			return dial(ctx, address)
		}
		response, aborted := h.send(newRequest(http.MethodPost, "/book/1", "r1", "x"))
		assert.Assert(t, !aborted)
		assert.Equal(t, response.Code, http.StatusOK)
		assert.Equal(t, len(h.receivedRequests()[leaving]), 0)
		assert.Equal(t, h.receivedCount(), 1)
	})
}
