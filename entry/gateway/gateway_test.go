package gateway_test

import (
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

// serve runs a test in a bubble with a gateway before servers.
func serve(t *testing.T, answer serverFunc, servers []string, test func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, answer, servers...)
		defer s.close()
		test(t, s)
	})
}

// breakFirst runs each request and breaks the connection of the first one.
func breakFirst(s *site, server string, conn net.Conn, request *http.Request) bool {
	s.run(request)
	time.Sleep(100 * time.Millisecond)
	return s.arrivals() > 1 && answerGood(s, server, conn, request)
}

func TestServerResponseIsForwardedUnchanged(t *testing.T) {
	serve(t, answerGood, []string{"a", "b"}, func(t *testing.T, s *site) {
		answer, cut := s.ask(newRequest(http.MethodPost, "/book/1?seat=2", "r1", "offer"))
		assert.Assert(t, !cut)
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.Equal(t, answer.Body.String(), "whole")
		assert.Equal(t, answer.Header().Get(names.ResponseStamp), "sound")
		for server, got := range s.requests() {
			assert.Equal(t, got[0].RequestURI, "/book/1?seat=2")
			assert.Equal(t, got[0].Host, "desk.example")
			assert.Equal(t, got[0].Header.Get(names.TargetServer), server)
			assert.Equal(t, got[0].Header.Get(names.RequestID), "r1")
			body, err := io.ReadAll(got[0].Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "offer")
		}
	})
}

// TestTruncatedResponses cuts a server's answer behind each byte. A caller never gets a
// success that is not whole, and what may run once is not sent again.
func TestTruncatedResponses(t *testing.T) {
	whole := good(newRequest(http.MethodGet, "/", "r1", ""), "whole")
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := "/browse/1"
		if method == http.MethodPost {
			path = "/book/1"
		}
		for end := range len(whole) {
			first := true
			cutOnce := func(s *site, _ string, conn net.Conn, request *http.Request) bool {
				s.run(request)
				if first {
					first = false
					io.WriteString(conn, whole[:end])
					return false
				}
				return answerGood(s, "", conn, request)
			}
			serve(t, cutOnce, []string{"a", "b"}, func(t *testing.T, s *site) {
				answer, cut := s.ask(newRequest(method, path, "r1", "x"))
				assert.Assert(t, !cut)
				if method == http.MethodGet {
					assert.Equal(t, answer.Code, http.StatusOK, "cut behind byte %d", end)
					assert.Equal(t, answer.Body.String(), "whole")
					return
				}
				assert.Equal(t, answer.Code, http.StatusBadGateway, "cut behind byte %d", end)
				assert.Equal(t, s.arrivals(), 1)
			})
		}
	}
}

// TestUnsolicitedResponseIsNotForwarded lets a server send a second answer to a request. It belongs to
// no other one, whether it comes at once or when the next one is expected.
func TestUnsolicitedResponseIsNotForwarded(t *testing.T) {
	for _, late := range []bool{false, true} {
		var left string
		twice := func(s *site, _ string, conn net.Conn, request *http.Request) bool {
			s.run(request)
			own := good(request, "own "+request.Header.Get(names.RequestID))
			content := left + own
			if !late {
				content += own
			}
			left = ""
			if late {
				left = own
			}
			_, err := io.WriteString(conn, content)
			return err == nil
		}
		serve(t, twice, []string{"a"}, func(t *testing.T, s *site) {
			for i := range 6 {
				id := fmt.Sprintf("r%d", i)
				answer, cut := s.ask(newRequest(http.MethodPost, "/book/1", id, "x"))
				assert.Assert(t, !cut)
				if answer.Code == http.StatusOK {
					assert.Equal(t, answer.Body.String(), "own "+id)
				}
				assert.Equal(t, s.runs(id), 1)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		// answer is what each server writes; "" closes the connection.
		answer  string
		method  string
		servers []string
		status  int
		// arrivals is how often the request was sent.
		arrivals int
		retry    bool
	}{
		{
			name:     "a full server did not run it, another may",
			answer:   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
			method:   http.MethodPost,
			servers:  []string{"a", "b", "c"},
			status:   http.StatusServiceUnavailable,
			arrivals: 2,
			retry:    true,
		},
		{
			name:     "another server has the address",
			answer:   "HTTP/1.1 421 Misdirected Request\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
			method:   http.MethodPost,
			servers:  []string{"a", "b", "c"},
			status:   http.StatusServiceUnavailable,
			arrivals: 2,
			retry:    true,
		},
		{
			name:     "a server's own failure is given as it is",
			answer:   "HTTP/1.1 500 Internal Server Error\r\nX-Stamp: bad\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nbad",
			method:   http.MethodPost,
			servers:  []string{"a", "b"},
			status:   http.StatusInternalServerError,
			arrivals: 1,
		},
		{
			name:     "an answer without a stamp is nobody's",
			answer:   "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
			method:   http.MethodPost,
			servers:  []string{"a", "b"},
			status:   http.StatusBadGateway,
			arrivals: 1,
		},
		{
			name:     "a lost answer may have run",
			method:   http.MethodPost,
			servers:  []string{"a", "b"},
			status:   http.StatusBadGateway,
			arrivals: 1,
		},
		{
			name:     "a repeatable request is sent again once",
			method:   http.MethodGet,
			servers:  []string{"a", "b", "c"},
			status:   http.StatusBadGateway,
			arrivals: 2,
		},
		{
			name:    "servers that can't be reached got nothing",
			method:  http.MethodPost,
			servers: []string{"dead-1", "dead-2"},
			status:  http.StatusServiceUnavailable,
			retry:   true,
		},
		{
			name:   "there is no server",
			method: http.MethodPost,
			status: http.StatusServiceUnavailable,
			retry:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			write := func(_ *site, _ string, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, test.answer)
				return test.answer != ""
			}
			path := "/book/1"
			if test.method == http.MethodGet {
				path = "/browse/1"
			}
			serve(t, write, test.servers, func(t *testing.T, s *site) {
				answer, cut := s.ask(newRequest(test.method, path, "r1", "x"))
				assert.Assert(t, !cut)
				assert.Equal(t, answer.Code, test.status)
				assert.Equal(t, s.arrivals(), test.arrivals)
				assert.Equal(t, answer.Header().Get("Retry-After") != "", test.retry)
			})
		})
	}
}

func TestRequestLimits(t *testing.T) {
	tests := []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{
			name:   "an unknown path",
			change: func(r *http.Request) { r.URL.Path = "/none/" },
			status: http.StatusNotFound,
		},
		{
			name:   "a long header",
			change: func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 5<<10)) },
			status: http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "a long body",
			change: func(r *http.Request) { r.ContentLength = 2 << 20 },
			status: http.StatusRequestEntityTooLarge,
		},
		{
			name: "a long body without a length",
			change: func(r *http.Request) {
				r.ContentLength = -1
				r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20)))
			},
			status: http.StatusRequestEntityTooLarge,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			serve(t, answerGood, []string{"a"}, func(t *testing.T, s *site) {
				request := newRequest(http.MethodPost, "/book/1", "r1", "x")
				test.change(request)
				answer, cut := s.ask(request)
				assert.Assert(t, !cut)
				assert.Equal(t, answer.Code, test.status)
			})
		})
	}
}

// TestRouteTimeout gives the final answer when the route's timeout is over, and ends
// the work at the server.
func TestRouteTimeout(t *testing.T) {
	hang := func(s *site, _ string, conn net.Conn, request *http.Request) bool {
		s.run(request)
		io.Copy(io.Discard, conn)
		return false
	}
	serve(t, hang, []string{"a"}, func(t *testing.T, s *site) {
		began := time.Now()
		answer, cut := s.ask(newRequest(http.MethodPost, "/book/1", "r1", "x"))
		assert.Assert(t, !cut)
		assert.Equal(t, answer.Code, http.StatusGatewayTimeout)
		assert.Assert(t, time.Since(began) < 2*time.Second+250*time.Millisecond)
		assert.Equal(t, s.requests()["a"][0].Header.Get(names.DeadlineMS), "2000")
	})
}

// TestCallerDisconnectEndsServerWork ends the work at the server when the caller is gone.
func TestCallerDisconnectEndsServerWork(t *testing.T) {
	ended := make(chan time.Time, 1)
	hang := func(_ *site, _ string, conn net.Conn, _ *http.Request) bool {
		io.Copy(io.Discard, conn)
		ended <- time.Now()
		return false
	}
	serve(t, hang, []string{"a"}, func(t *testing.T, s *site) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, leave)
		began := time.Now()
		_, cut := s.ask(newRequest(http.MethodGet, "/browse/1", "r1", "").WithContext(ctx))
		assert.Assert(t, cut)
		assert.Equal(t, (<-ended).Sub(began), 300*time.Millisecond)
	})
}

// TestRetryBudget bounds repeats while all answers are lost.
func TestRetryBudget(t *testing.T) {
	lose := func(*site, string, net.Conn, *http.Request) bool { return false }
	serve(t, lose, []string{"a", "b", "c", "d", "e", "f"}, func(t *testing.T, s *site) {
		const asked = 200
		for i := range asked {
			s.ask(newRequest(http.MethodGet, fmt.Sprintf("/browse/%d", i), fmt.Sprintf("r%d", i), ""))
		}
		assert.Assert(t, s.arrivals()-asked <= 0.2*asked+20)
	})
}

// TestCrashingRequestIsQuarantined stops a request that breaks each server that runs it after
// the third, under whatever ID it comes, and not the others beside it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	crash := func(s *site, server string, conn net.Conn, request *http.Request) bool {
		if request.URL.Path == "/browse/poison" {
			s.restart(server)
			return false
		}
		return answerGood(s, server, conn, request)
	}
	servers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	serve(t, crash, servers, func(t *testing.T, s *site) {
		for i := range 12 {
			s.ask(newRequest(http.MethodGet, "/browse/poison", fmt.Sprintf("p%d", i), ""))
			answer, _ := s.ask(newRequest(http.MethodGet, fmt.Sprintf("/browse/%d", i), fmt.Sprintf("r%d", i), ""))
			assert.Equal(t, answer.Code, http.StatusOK)
			time.Sleep(time.Second)
		}
		broken := 0
		for _, got := range s.requests() {
			for _, request := range got {
				if request.URL.Path == "/browse/poison" {
					broken++
				}
			}
		}
		assert.Assert(t, broken <= 6, "%d servers broken", broken)
	})
}

// TestShutdownClosesConnections answers with the wish to close, and still serves.
func TestShutdownClosesConnections(t *testing.T) {
	serve(t, answerGood, []string{"a"}, func(t *testing.T, s *site) {
		s.gateway.ShuttingDown = func() bool { return true }
		answer, _ := s.ask(newRequest(http.MethodGet, "/browse/1", "r1", ""))
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.Equal(t, answer.Header().Get("Connection"), "close")
	})
}

// TestServerErrorIsForwardedWithoutAlternative: a server's failure that no other server can mend is
// the caller's answer, with the server's stamp and status.
func TestServerErrorIsForwardedWithoutAlternative(t *testing.T) {
	fail := func(s *site, _ string, conn net.Conn, request *http.Request) bool {
		s.run(request)
		_, err := io.WriteString(conn, strings.Replace(good(request, "whole"), "200 OK", "500 Internal Server Error", 1))
		return err == nil
	}
	for _, servers := range [][]string{{"a"}, {"a", "dead-b"}} {
		serve(t, fail, servers, func(t *testing.T, s *site) {
			for range 4 {
				answer, cut := s.ask(newRequest(http.MethodGet, "/browse/1", "r1", ""))
				assert.Assert(t, !cut)
				if answer.Code == http.StatusServiceUnavailable {
					continue
				}
				assert.Equal(t, answer.Code, http.StatusInternalServerError)
				assert.Equal(t, answer.Header().Get(names.ResponseStamp), "sound")
				assert.Equal(t, answer.Body.String(), "whole")
			}
			assert.Assert(t, s.arrivals() > 0)
		})
	}
}

// TestNoRequestToServerLeavingDuringConnect: a server that begins to leave while a connection
// to it is opened gets no request on it.
func TestNoRequestToServerLeavingDuringConnect(t *testing.T) {
	serve(t, answerGood, []string{"a", "b"}, func(t *testing.T, s *site) {
		var leaving string
		dial := s.gateway.Pool.Dial
		s.gateway.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if leaving == "" {
				leaving = address
				time.Sleep(600 * time.Millisecond)
				server := testServer(address, 0)
				server.Draining = true
				s.gateway.Fleet.Update([]routing.Server{server})
			}
			return dial(ctx, address)
		}
		answer, cut := s.ask(newRequest(http.MethodPost, "/book/1", "r1", "x"))
		assert.Assert(t, !cut)
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.Equal(t, len(s.requests()[leaving]), 0)
		assert.Equal(t, s.arrivals(), 1)
	})
}
