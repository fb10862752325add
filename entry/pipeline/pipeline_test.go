package pipeline_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/pipeline"
)

// TestPipelinedRequestsRunConcurrently checks that idempotent requests sent together, or
// byte by byte while the first is served, run at the same time, and that their responses
// come in the order of the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	requests := []string{"/safe/300/a", "/safe/100/b", "/safe/200/c"}
	for _, split := range []bool{false, true} {
		withHarness(t, func(t *testing.T, h *harness) {
			data := get(requests[0]) + get(requests[1]) + get(requests[2])
			if split {
				for i := range len(data) {
					h.send(data[i : i+1])
					synctest.Wait()
				}
			} else {
				h.send(data)
			}
			for _, request := range requests {
				assert.Equal(t, h.mustReceive(t, request).at, 300*time.Millisecond)
				start, _ := h.startOf(request)
				assert.Equal(t, start, time.Duration(0), request)
			}
			assert.Equal(t, h.handler.Started(), int64(2))
		})
	}
}

// TestResponsesAreWrittenAsSoonAsInOrder checks when each response is written: at the end
// of the slowest request up to it.
func TestResponsesAreWrittenAsSoonAsInOrder(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.send(get("/safe/100/a") + get("/safe/400/b") + get("/safe/200/c") + get("/safe/600/d"))
		for i, want := range []time.Duration{100, 400, 400, 600} {
			uri := []string{"/safe/100/a", "/safe/400/b", "/safe/200/c", "/safe/600/d"}[i]
			assert.Equal(t, h.mustReceive(t, uri).at, want*time.Millisecond)
		}
		// The connection is idle now, and serves further requests.
		h.send(get("/safe/50/e"))
		h.mustReceive(t, "/safe/50/e")
	})
}

// TestRequestWithEffectIsNotStartedEarly checks that a request that is not idempotent
// starts after the responses to those before it, and the ones behind it after its own.
func TestRequestWithEffectIsNotStartedEarly(t *testing.T) {
	effect := "POST /effect/200/b HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n\r\noffer"
	for _, split := range []bool{false, true} {
		withHarness(t, func(t *testing.T, h *harness) {
			data := get("/safe/100/a") + effect + get("/safe/100/c") + get("/safe/100/d")
			if split {
				for i := range len(data) {
					h.send(data[i : i+1])
					synctest.Wait()
				}
			} else {
				h.send(data)
			}
			h.mustReceive(t, "/safe/100/a")
			received, err := h.receive(http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, received.body, `POST /effect/200/b "offer" <nil>`)
			h.mustReceive(t, "/safe/100/c")
			assert.Equal(t, h.mustReceive(t, "/safe/100/d").at, 400*time.Millisecond)
			for uri, want := range map[string]time.Duration{
				"/effect/200/b": 100 * time.Millisecond,
				"/safe/100/c":   300 * time.Millisecond,
				"/safe/100/d":   300 * time.Millisecond,
			} {
				start, _ := h.startOf(uri)
				assert.Equal(t, start, want, uri)
			}
		})
	}
}

// TestBodiesBetweenPipelinedRequests checks that requests with bodies, of a known length or
// in chunks, and what follows them, are served as without pipelining.
func TestBodiesBetweenPipelinedRequests(t *testing.T) {
	for _, test := range []struct {
		name    string
		request string
		body    string
	}{
		{
			name:    "known length",
			request: "POST /safe/100/b HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n\r\noffer",
			body:    "offer",
		},
		{
			name:    "body that looks like a request",
			request: fmt.Sprintf("POST /safe/100/b HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", len(get("/safe/1/x")), get("/safe/1/x")),
			body:    get("/safe/1/x"),
		},
		{
			name:    "chunks",
			request: "POST /safe/100/b HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n",
			body:    "offer",
		},
		{
			name:    "more than is read ahead",
			request: fmt.Sprintf("POST /safe/100/b HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", 100<<10, strings.Repeat("x", 100<<10)),
			body:    strings.Repeat("x", 100<<10),
		},
		{
			name:    "expecting to be asked for it",
			request: "POST /safe/100/b HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\noffer",
			body:    "offer",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				h.send(get("/safe/100/a") + test.request + get("/safe/100/c"))
				h.mustReceive(t, "/safe/100/a")
				received, err := h.receive(http.MethodPost)
				if received.status == http.StatusContinue {
					received, err = h.receive(http.MethodPost)
				}
				assert.NilError(t, err)
				assert.Equal(t, received.body, fmt.Sprintf("POST /safe/100/b %q <nil>", test.body))
				h.mustReceive(t, "/safe/100/c")
				_, smuggled := h.startOf("/safe/1/x")
				assert.Assert(t, !smuggled)
			})
		})
	}
}

// TestAtMostMaxEarlyRequests checks the bound on the number of requests of a connection that
// run at the same time: one that the http.Server serves, and maxEarly started early.
func TestAtMostMaxEarlyRequests(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		var data strings.Builder
		for i := range 60 {
			data.WriteString(get(fmt.Sprintf("/safe/100/%d", i)))
		}
		h.send(data.String())
		for i := range 60 {
			h.mustReceive(t, fmt.Sprintf("/safe/100/%d", i))
		}
		assert.Equal(t, h.maxRunning, 17)
	})
}

// TestHeldResponsesAreBounded sends requests for responses that together exceed what may be
// held back. Those beyond it wait for their turn, and all arrive.
func TestHeldResponsesAreBounded(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		var data strings.Builder
		data.WriteString(get("/safe/500/first"))
		for i := range 6 {
			data.WriteString(get(fmt.Sprintf("/safe/10/big%d", i)))
		}
		h.send(data.String())
		h.mustReceive(t, "/safe/500/first")
		for range 6 {
			received, err := h.receive(http.MethodGet)
			assert.NilError(t, err)
			assert.Equal(t, len(received.body), bigBody)
		}
		h.send(get("/safe/10/last"))
		h.mustReceive(t, "/safe/10/last")
	})
}

// TestPipelineAfterAbortOrPanic lets a request at each position abort, as when a server's
// response breaks off, or panic. The responses before it must be whole, and the connection
// must end behind them; the requests behind it are canceled.
func TestPipelineAfterAbortOrPanic(t *testing.T) {
	for _, failure := range []string{"abort", "panic"} {
		for position := range 3 {
			withHarness(t, func(t *testing.T, h *harness) {
				uris := []string{"/safe/100/a", "/safe/110/b", "/safe/5000/c"}
				uris[position] = "/safe/120/" + failure
				h.send(get(uris[0]) + get(uris[1]) + get(uris[2]))
				for _, uri := range uris[:position] {
					h.mustReceive(t, uri)
				}
				h.mustBeClosed(t)
				synctest.Wait()
				if position < 2 {
					assert.Assert(t, h.canceled[uris[2]], "position %d: the last request was not canceled", position)
				}
				logged := strings.Contains(h.logOutput.String(), "request-panicked")
				assert.Equal(t, logged, failure == "panic" && position > 0)
			})
		}
	}
}

// TestCallerLeavesPipeline checks that all requests of a caller that closes its connection
// are canceled at once.
func TestCallerLeavesPipeline(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		uris := []string{"/safe/5000/a", "/safe/5000/b", "/safe/5000/c"}
		h.send(get(uris[0]) + get(uris[1]) + get(uris[2]))
		time.Sleep(100 * time.Millisecond)
		h.caller.Close()
		synctest.Wait()
		for _, uri := range uris {
			assert.Assert(t, h.canceled[uri], uri)
			assert.Equal(t, h.ends[uri], 100*time.Millisecond)
		}
		assert.Equal(t, h.handler.Outstanding(), 0)
	})
}

// TestCallerAsksToClose checks that no request behind one with "Connection: close" is
// started.
func TestCallerAsksToClose(t *testing.T) {
	for _, position := range []int{0, 1} {
		withHarness(t, func(t *testing.T, h *harness) {
			uris := []string{"/safe/100/a", "/safe/100/b", "/safe/100/c"}
			data := ""
			for i, uri := range uris {
				request := get(uri)
				if i == position {
					request = strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
				}
				data += request
			}
			h.send(data)
			for _, uri := range uris[:position+1] {
				h.mustReceive(t, uri)
			}
			h.mustBeClosed(t)
			for _, uri := range uris[position+1:] {
				_, started := h.startOf(uri)
				assert.Assert(t, !started, uri)
			}
		})
	}
}

// TestMalformedRequestInPipeline checks that the requests before a malformed one are
// answered, that it is refused, and that none behind it is started.
func TestMalformedRequestInPipeline(t *testing.T) {
	for _, malformed := range []string{
		"GET /safe/100/b HTTP/1.1\r\n\r\n",
		"GET /safe/100/b HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"GET /safe/100/b HTTP/1.1\r\nHost: desk.example\r\nBad Name: 1\r\n\r\n",
		"GET /safe/100/b HTTP/1.1\r\nHost: desk.example\r\nX-Value: \x01\r\n\r\n",
		"GET /safe/100/b HTTP/1.1\r\nHost: desk.example\r\nContent-Length: -1\r\n\r\n",
		"no request at all\r\n\r\n",
	} {
		withHarness(t, func(t *testing.T, h *harness) {
			h.send(get("/safe/100/a") + malformed + get("/safe/100/c"))
			h.mustReceive(t, "/safe/100/a")
			received, err := h.receive(http.MethodGet)
			assert.NilError(t, err)
			assert.Equal(t, received.status, http.StatusBadRequest, malformed)
			assert.Assert(t, received.close)
			h.mustBeClosed(t)
			for _, uri := range []string{"/safe/100/b", "/safe/100/c"} {
				_, started := h.startOf(uri)
				assert.Assert(t, !started, "%s behind %q", uri, malformed)
			}
		})
	}
}

// TestShutdownAnswersStartedRequests checks that during a shutdown each request that was started,
// or received behind another one, is answered, and that only the response to the last of them asks
// to close the connection. None is started early any more.
func TestShutdownAnswersStartedRequests(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.send(get("/safe/300/a") + get("/safe/100/b") + get("/safe/200/c"))
		time.Sleep(50 * time.Millisecond)
		h.setShuttingDown(true)
		h.send(get("/safe/100/d"))
		for _, uri := range []string{"/safe/300/a", "/safe/100/b", "/safe/200/c"} {
			received := h.mustReceive(t, uri)
			assert.Equal(t, received.at, 300*time.Millisecond)
			assert.Assert(t, !received.close, uri)
		}
		received := h.mustReceive(t, "/safe/100/d")
		assert.Equal(t, received.at, 400*time.Millisecond)
		assert.Assert(t, received.close)
		h.mustBeClosed(t)
	})
}

// TestShutdownAnswersRequestBehindAnother guards against a request whose connection is closed behind
// the answer to the one before it, although it was received long before: its caller doesn't know
// whether it ran. Drain waits for it, whether it was received before or during the drain.
func TestShutdownAnswersRequestBehindAnother(t *testing.T) {
	length := "POST /effect/600/a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n\r\noffer"
	chunked := "POST /effect/600/a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"003\r\noff\r\n2\r\ner\r\n0\r\n\r\n"
	for _, first := range []string{length, get("/safe/600/a"), chunked} {
		for _, sentAt := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond} {
			withHarness(t, func(t *testing.T, h *harness) {
				h.send(first)
				time.Sleep(10 * time.Millisecond)
				h.setShuttingDown(true)
				drained := make(chan error, 1)
				h.group.Go(func() { drained <- h.drain(5 * time.Second) })
				time.Sleep(sentAt)
				h.send(strings.ReplaceAll(length, "/a", "/b"))
				for _, uri := range []string{"/a", "/b"} {
					received, err := h.receive(http.MethodPost)
					assert.NilError(t, err)
					assert.Equal(t, received.status, http.StatusOK)
					assert.Equal(t, received.close, uri == "/b")
				}
				assert.NilError(t, <-drained)
				assert.Equal(t, time.Since(h.began).Round(100*time.Millisecond), 1200*time.Millisecond)
				h.mustBeClosed(t)
			})
		}
	}
}

// TestShutdownClosesAfterSingleRequest checks that requests are still served during a
// shutdown, and that the response asks to close the connection.
func TestShutdownClosesAfterSingleRequest(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.setShuttingDown(true)
		h.send(get("/safe/100/a"))
		assert.Assert(t, h.mustReceive(t, "/safe/100/a").close)
		h.mustBeClosed(t)
	})
}

// TestDrainAnswersWhatWasRead checks that a request is answered whose header or body is
// being read, or that was started early, when Drain begins, and the first request of a
// connection that was accepted just before. A request that arrives later on an idle
// connection is not read. A second call of Drain within a second changes nothing.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		idle := &harness{
			caller: h.dial(),
		}
		defer idle.caller.Close()
		_, err := io.WriteString(idle.caller, get("/safe/10/idle"))
		assert.NilError(t, err)
		_, err = idle.caller.Read(make([]byte, 4096))
		assert.NilError(t, err)
		h.send(get("/safe/300/a") + get("/safe/200/b"))
		reading := h.dial()
		defer reading.Close()
		_, err = io.WriteString(reading, get("/safe/300/reading")[:20])
		assert.NilError(t, err)
		accepted := h.dial()
		defer accepted.Close()
		synctest.Wait()
		h.setShuttingDown(true)
		drained := make(chan error, 2)
		for range 2 {
			h.group.Go(func() {
				err := h.drain(5 * time.Second)
				if err == nil {
					err = h.server.Shutdown(t.Context())
				}
				drained <- err
			})
			time.Sleep(100 * time.Millisecond)
		}
		_, err = io.WriteString(accepted, get("/safe/100/accepted"))
		assert.NilError(t, err)
		time.Sleep(450 * time.Millisecond)
		_, err = io.WriteString(reading, get("/safe/300/reading")[20:])
		assert.NilError(t, err)
		h.mustReceive(t, "/safe/300/a")
		h.mustReceive(t, "/safe/200/b")
		for _, caller := range []io.Reader{accepted, reading} {
			answer, err := io.ReadAll(caller)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 200 OK"), "got %q", answer)
		}
		for range 2 {
			assert.NilError(t, <-drained)
		}
		_, _ = io.WriteString(idle.caller, get("/effect/10/late"))
		synctest.Wait()
		_, started := h.startOf("/effect/10/late")
		assert.Assert(t, !started)
	})
}

// TestDrainWaitsUntilAnswersAreDelivered guards against a process that ends while the http.Server
// still writes the end of a response, after its handler has returned.
func TestDrainWaitsUntilAnswersAreDelivered(t *testing.T) {
	for _, closing := range []bool{false, true} {
		t.Run(fmt.Sprintf("closing-%t", closing), func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				h.setShuttingDown(closing)
				h.send(get("/effect/10/x"))
				time.Sleep(50 * time.Millisecond)
				began := time.Now()
				h.group.Go(func() {
					time.Sleep(time.Second)
					h.mustReceive(t, "/effect/10/x")
				})
				assert.Check(t, h.drain(5*time.Second))
				assert.Check(t, time.Since(began) >= time.Second, "drained after %s", time.Since(began))
			})
		})
	}
}

// TestDrainWithListenerThatIsClosedAlready checks that Drain reads no further requests and waits
// for those that were read although the http.Server has closed the listener before: at the
// deadline that Drain sets for the last connections, or because it failed.
func TestDrainWithListenerThatIsClosedAlready(t *testing.T) {
	for _, failed := range []bool{false, true} {
		withHarness(t, func(t *testing.T, h *harness) {
			idle := h.dial()
			defer idle.Close()
			_, err := io.WriteString(idle, get("/safe/10/idle"))
			assert.NilError(t, err)
			_, err = idle.Read(make([]byte, 4096))
			assert.NilError(t, err)
			h.send(get("/safe/2000/a"))
			synctest.Wait()
			if failed {
				assert.NilError(t, h.listener.Close())
				synctest.Wait()
			}
			h.setShuttingDown(true)
			drained := make(chan error, 1)
			h.group.Go(func() { drained <- h.drain(5 * time.Second) })
			time.Sleep(time.Second)
			_, _ = io.WriteString(idle, get("/effect/10/late"))
			h.mustReceive(t, "/safe/2000/a")
			assert.NilError(t, <-drained)
			assert.Equal(t, time.Since(h.began).Round(time.Second), 2*time.Second)
			_, started := h.startOf("/effect/10/late")
			assert.Assert(t, !started)
		})
	}
}

// TestDrainRefusesLateRequests guards against a request that arrives during Drain on an idle
// connection and is run, although Drain doesn't wait for it and the end of the process would cut it
// off, or whose connection just ends, so that its caller doesn't know whether it ran.
func TestDrainRefusesLateRequests(t *testing.T) {
	for _, body := range []string{"Transfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n", "Content-Length: 5\r\n\r\noffer"} {
		post := func(uri string) string {
			return "POST " + uri + " HTTP/1.1\r\nHost: desk.example\r\n" + body
		}
		withHarness(t, func(t *testing.T, h *harness) {
			h.send(post("/effect/10/first"))
			received, err := h.receive(http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, received.status, http.StatusOK)
			busy := h.dial()
			defer busy.Close()
			_, err = io.WriteString(busy, get("/safe/3000/busy"))
			assert.NilError(t, err)
			synctest.Wait()
			h.setShuttingDown(true)
			drained := make(chan error, 1)
			h.group.Go(func() { drained <- h.drain(5 * time.Second) })
			time.Sleep(time.Second)
			h.send(post("/effect/5000/late"))
			received, err = h.receive(http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, received.status, http.StatusServiceUnavailable)
			assert.Assert(t, received.close)
			assert.Equal(t, received.at.Round(100*time.Millisecond), time.Second)
			h.mustBeClosed(t)
			_, started := h.startOf("/effect/5000/late")
			assert.Assert(t, !started)
			answer, err := io.ReadAll(busy)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 200 OK"), "got %q", answer)
			assert.NilError(t, <-drained)
		})
	}
}

// TestRequestBehindRefusedOneIsRefused guards against a request that is run after Drain has waited
// for all others, because it was received behind one that Drain refused.
func TestRequestBehindRefusedOneIsRefused(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.send(get("/safe/10/first"))
		h.mustReceive(t, "/safe/10/first")
		h.setShuttingDown(true)
		assert.NilError(t, h.drain(5*time.Second))
		h.send(get("/effect/10/a") + get("/effect/10/b"))
		for _, last := range []bool{false, true} {
			received, err := h.receive(http.MethodGet)
			assert.NilError(t, err)
			assert.Equal(t, received.status, http.StatusServiceUnavailable)
			assert.Equal(t, received.close, last)
		}
		h.mustBeClosed(t)
	})
}

// TestRequestsWithoutAnswerAreLogged checks that the log names a request that is under way when the
// process is about to end, and one whose response can't be written.
func TestRequestsWithoutAnswerAreLogged(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.send("GET /safe/300/a HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\n\r\n")
		synctest.Wait()
		h.handler.LogUnanswered()
		assert.Assert(t, strings.Contains(h.logOutput.String(), `"event":"unanswered","id":"r1","counted":true`), h.logOutput.String())
		h.caller.Close()
		synctest.Wait()
		h.handler.LogUnanswered()
		assert.Assert(t, strings.Contains(h.logOutput.String(), `"event":"undelivered","id":"r1"`), h.logOutput.String())
		assert.Equal(t, strings.Count(h.logOutput.String(), `"unanswered"`), 1)
	})
}

// TestRequestOnClosedConnectionIsNotPassedOn guards against requests that run although their
// connection was closed as idle, at the end of a shutdown or by a limit, while they were being read.
func TestRequestOnClosedConnectionIsNotPassedOn(t *testing.T) {
	for _, request := range []string{
		"POST /effect/10/a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n\r\noffer",
		"POST /effect/10/a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n",
	} {
		withHarness(t, func(t *testing.T, h *harness) {
			synctest.Wait()
			h.server.ConnState = func(conn net.Conn, state http.ConnState) {
				if state == http.StateActive {
					conn.Close()
				}
			}
			h.send(request)
			h.mustBeClosed(t)
			synctest.Wait()
			_, started := h.startOf("/effect/10/a")
			assert.Assert(t, !started)
		})
	}
}

// TestNextRequestDoesNotResetAnswer guards against an answer that the system drops, because the
// caller sends its next request before it has read all of the answer, on a connection that the
// entry has closed behind it.
func TestNextRequestDoesNotResetAnswer(t *testing.T) {
	const answerBytes, receiveBytes = 200 << 10, 4 << 10
	logger := &log.Logger{
		Writer: log.IOWriter{
			Writer: io.Discard,
		},
	}
	handler := &pipeline.Handler{
		Next:         http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, answerBytes)) }),
		Idempotent:   func(*http.Request) bool { return false },
		ShuttingDown: func() bool { return true },
		Logger:       logger,
	}
	closed := make(chan struct{})
	server := &http.Server{
		Handler:     handler,
		ConnContext: handler.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			handler.ConnState(conn, state)
			if state == http.StateClosed {
				close(closed)
			}
		},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(handler.Listener(listener)) })
	defer group.Wait()
	defer server.Close()
	dialer := net.Dialer{
		Control: func(_, _ string, conn syscall.RawConn) error {
			// The system can't deliver all of the answer before the caller reads.
			return conn.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
			})
		},
	}
	caller, err := dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	_, err = io.WriteString(caller, get("/effect/0/a"))
	assert.NilError(t, err)
	select {
	case <-closed:
	case <-time.After(200 * time.Millisecond):
	}
	_, err = io.WriteString(caller, get("/effect/0/b"))
	assert.NilError(t, err)
	answer, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Assert(t, len(answer) > answerBytes, "%d bytes", len(answer))
}

// TestBrokenHeaderIsNotLoggedAsTheRequestBefore guards against the log naming a request that was
// answered as undelivered, when the connection ends in the middle of the next request's header.
func TestBrokenHeaderIsNotLoggedAsTheRequestBefore(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		h.send(get("/safe/10/a"))
		h.mustReceive(t, "/safe/10/a")
		h.send("GET /safe/10/b HTTP/1.1\r\n")
		synctest.Wait()
		h.caller.Close()
		synctest.Wait()
		assert.Assert(t, strings.Contains(h.logOutput.String(), `"event":"undelivered","id":""`), h.logOutput.String())
		assert.Assert(t, !strings.Contains(h.logOutput.String(), "/safe/10/a"), h.logOutput.String())
	})
}

// TestListenerMayBeClosedTwice guards against a stop that is logged as early because the
// http.Server closes the listener after Drain.
func TestListenerMayBeClosedTwice(t *testing.T) {
	listener := (&pipeline.Handler{}).Listener(newPipeListener())
	for range 2 {
		assert.NilError(t, listener.Close())
	}
}

// TestRequestOfCallerThatLeftIsNotServed guards against requests that are passed on although their
// callers left before a busy entry read them.
func TestRequestOfCallerThatLeftIsNotServed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var served atomic.Int32
	handler := &pipeline.Handler{
		Next:         http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }),
		Idempotent:   func(*http.Request) bool { return true },
		ShuttingDown: func() bool { return false },
		Logger: &log.Logger{
			Writer: log.IOWriter{
				Writer: io.Discard,
			},
		},
	}
	closed := make(chan struct{}, 100)
	server := &http.Server{
		Handler:     handler,
		ConnContext: handler.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			handler.ConnState(conn, state)
			if state == http.StateClosed {
				closed <- struct{}{}
			}
		},
	}
	for range 100 {
		caller, err := net.Dial("tcp4", listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(caller, get("/safe/0/a"))
		assert.NilError(t, err)
		assert.NilError(t, caller.Close())
	}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(handler.Listener(listener)) })
	for range 100 {
		<-closed
	}
	assert.NilError(t, server.Close())
	group.Wait()
	assert.Equal(t, served.Load(), int32(0))
}

// TestHeadersWithoutRoomAreRefused checks that a header that is too large, or for which there is no
// memory, is answered without being served, behind the whole response to the request before it.
func TestHeadersWithoutRoomAreRefused(t *testing.T) {
	large := "GET /effect/10/b HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X-Line: v\r\n", 8000)
	for _, test := range []struct {
		name   string
		sent   string
		busy   int64
		status int
	}{
		{
			name:   "without end",
			sent:   large,
			status: http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "complete",
			sent:   large + "\r\n",
			status: http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "no memory",
			sent:   get("/effect/10/b"),
			busy:   memoryLimit - 1000,
			status: http.StatusServiceUnavailable,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(t *testing.T, h *harness) {
				h.send(get("/effect/10/a"))
				h.mustReceive(t, "/effect/10/a")
				synctest.Wait()
				busy := h.handler.Budget.Open(func() {})
				assert.Assert(t, busy.Reserve(test.busy))
				h.send(test.sent)
				received, err := h.receive(http.MethodGet)
				assert.NilError(t, err)
				assert.Equal(t, received.status, test.status)
				h.mustBeClosed(t)
				assert.Equal(t, len(h.starts), 1)
				busy.Close()
			})
		})
	}
}

// TestTrailerKeepsConnectionWhileServed guards against a connection that is closed to make room for
// others while its request runs, because the body has a trailer or chunk extensions: such a
// connection seemed to wait for its caller, and took the memory of the largest header.
func TestTrailerKeepsConnectionWhileServed(t *testing.T) {
	const header = "POST /effect/1000/a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, body := range []string{
		"5\r\noffer\r\n0\r\nX-Trailer: 1\r\n\r\n",
		"5;name=value\r\noffer\r\n0;last\r\n\r\n",
	} {
		withHarness(t, func(t *testing.T, h *harness) {
			for range 2 {
				h.send(header + body)
				time.Sleep(500 * time.Millisecond)
				assert.Assert(t, h.handler.Budget.Held() < 8<<10, "%d bytes are held for %q", h.handler.Budget.Held(), body)
				assert.Assert(t, !h.handler.Budget.Evict(), "the connection waits for its caller with %q", body)
				received, err := h.receive(http.MethodPost)
				assert.NilError(t, err)
				assert.Equal(t, received.body, "POST /effect/1000/a \"offer\" <nil>")
			}
		})
	}
}
