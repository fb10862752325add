package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/gateway"
	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/routing"
)

// names are the headers of the tests.
var names = header.Names{
	RequestID:     "X-Id",
	DeadlineMS:    "X-Deadline",
	ObjectCookie:  "Object",
	ResponseStamp: "X-Stamp",
	TargetServer:  "X-Target",
	Load:          "X-Load",
	NotExecuted:   "X-Not-Executed",
}

// site is a gateway with servers whose answers the test writes.
type site struct {
	gateway *gateway.Gateway
	group   sync.WaitGroup

	mu sync.Mutex
	// got holds the requests that arrived, by server.
	got map[string][]*http.Request
	// ran counts the runs by request ID.
	ran map[string]int
	// lines is what the gateway logged.
	lines bytes.Buffer
	// conns are the servers' ends of all connections.
	conns []net.Conn
}

// serverFunc answers a request that arrived at a server; false closes the
// connection.
type serverFunc func(s *site, server string, conn net.Conn, request *http.Request) bool

// newSite returns a gateway before servers that answer through serve.
func newSite(t *testing.T, serve serverFunc, servers ...string) *site {
	t.Helper()
	s := &site{
		got: make(map[string][]*http.Request),
		ran: make(map[string]int),
	}
	conf := routing.NewConfiguration(7, []*routing.Service{
		{
			Name: "desk",
		},
	}, routing.Limits{
		MaxHeaderBytes: 4 << 10,
		MaxBodyBytes:   1 << 20,
	}, []*routing.Route{
		testRoute("browse", "/browse/", routing.Idempotent),
		testRoute("book", "/book/", routing.NonIdempotent),
	})
	fleet := placement.New("north", func() (int, int) { return 0, 1 })
	fleet.Configure(conf)
	for _, id := range servers {
		fleet.Update([]routing.Server{testServer(id, 0)})
	}
	s.gateway = &gateway.Gateway{
		HeaderNames:   names,
		Configuration: func() *routing.Configuration { return conf },
		Fleet:         fleet,
		Pool: &upstream.Pool{
			HeaderNames:      names,
			MaxIdlePerServer: func(string) int { return 4 },
			Eligible:         fleet.Eligible,
			Dial:             s.dial(serve),
		},
		RetryBudget: &gateway.RetryBudget{
			Bounds: func() (ratio, slack float64, window time.Duration) {
				return 0.2, 20, 10 * time.Second
			},
			EntryCount: func() int { return 1 },
		},
		Quarantine: &quarantine.List{
			FailureLimit: 3,
		},
		RegistrationsAge: func() (age time.Duration, known bool) {
			return 40 * time.Millisecond, true
		},
		ShuttingDown: func() bool { return false },
		Logger: &log.Logger{
			Level:      log.InfoLevel,
			TimeField:  "time",
			TimeFormat: "05.000",
			Writer:     log.IOWriter{Writer: &s.lines},
		},
		Metrics: metrics.NewRegistry(),
	}
	return s
}

func testRoute(name, prefix string, kind routing.RequestKind) *routing.Route {
	return &routing.Route{
		Name:   name,
		Host:   "desk.example",
		Prefix: prefix,
		Kind:   kind,
		Services: []routing.WeightedService{
			{
				Service: "desk",
				Weight:  1,
			},
		},
		Timeout:          2 * time.Second,
		LatencyObjective: 600 * time.Millisecond,
		MaxAttempts:      2,
	}
}

func (s *site) dial(serve serverFunc) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) {
		if strings.HasPrefix(address, "dead") {
			return nil, &net.OpError{
				Op:  "dial",
				Err: io.ErrClosedPipe,
			}
		}
		near, far := net.Pipe()
		s.mu.Lock()
		s.conns = append(s.conns, far)
		s.mu.Unlock()
		s.group.Go(func() {
			defer far.Close()
			reader := bufio.NewReader(far)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				body, err := io.ReadAll(request.Body)
				if err != nil {
					return
				}
				request.Body = io.NopCloser(strings.NewReader(string(body)))
				s.mu.Lock()
				s.got[address] = append(s.got[address], request)
				s.mu.Unlock()
				if !serve(s, address, far, request) {
					return
				}
			}
		})
		return near, nil
	}
}

func testServer(id string, born int64) routing.Server {
	return routing.Server{
		ID:            id,
		Service:       "desk",
		Address:       id,
		FailureDomain: "north-a",
		Region:        "north",
		Slots:         3,
		BornUnixMS:    born,
	}
}

// restart registers a server that has crashed and started again.
func (s *site) restart(id string) {
	s.gateway.Fleet.Update([]routing.Server{testServer(id, time.Now().UnixNano())})
}

// run counts a run of a request.
func (s *site) run(request *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[request.Header.Get(names.RequestID)]++
}

// requests returns what reached each server.
func (s *site) requests() map[string][]*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.got)
}

// runs returns how often a request ran.
func (s *site) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// arrivals returns how many requests reached all servers.
func (s *site) arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, each := range s.got {
		count += len(each)
	}
	return count
}

// close ends the servers' connections.
func (s *site) close() {
	s.mu.Lock()
	for _, conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.gateway.Pool.CloseStale(func(routing.Incarnation) bool { return false })
	s.group.Wait()
}

// ask sends a request as a caller does. The second value says that the
// connection was cut without a whole answer.
func (s *site) ask(request *http.Request) (answer *httptest.ResponseRecorder, cut bool) {
	answer = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			cut = true
		}
	}()
	s.gateway.ServeHTTP(answer, request)
	return answer, false
}

// newRequest returns a caller's request.
func newRequest(method, path, id, body string) *http.Request {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Host = "desk.example"
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.DeadlineMS, "4000")
	request.AddCookie(&http.Cookie{
		Name:  names.ObjectCookie,
		Value: "17",
	})
	return request
}

// good is a server's whole answer.
func good(request *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sound\r\nContent-Length: %d\r\n\r\n%s",
		names.RequestID, request.Header.Get(names.RequestID), names.ResponseStamp, len(body), body)
}

// answerGood runs each request and answers it.
func answerGood(s *site, _ string, conn net.Conn, request *http.Request) bool {
	s.run(request)
	_, err := io.WriteString(conn, good(request, "whole"))
	return err == nil
}
