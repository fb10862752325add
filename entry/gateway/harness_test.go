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
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
)

// headerNames are the names of the platform's headers in the tests.
var headerNames = header.Names{
	RequestID:     "X-Id",
	DeadlineMS:    "X-Deadline",
	ObjectCookie:  "Object",
	ResponseStamp: "X-Stamp",
	TargetServer:  "X-Target",
	Load:          "X-Load",
	NotExecuted:   "X-Not-Executed",
}

// harness is a gateway with servers that the test simulates.
type harness struct {
	gateway *gateway.Gateway
	// group waits for the goroutines of the servers.
	group sync.WaitGroup

	// mu guards received, runCounts and serverConns.
	mu sync.Mutex
	// received holds the requests that each server received, keyed by server ID.
	received map[string][]*http.Request
	// runCounts holds how many times each request ran, keyed by request ID.
	runCounts map[string]int
	// logOutput holds the gateway's log lines.
	logOutput bytes.Buffer
	// serverConns holds the server's end of each connection.
	serverConns []net.Conn
}

// serverHandler simulates how a server responds to a request on a connection. server is
// the server's ID. If the handler returns false, the connection is closed.
type serverHandler func(h *harness, server string, conn net.Conn, request *http.Request) bool

// newHarness returns a gateway with servers that respond through serve. Connections to
// servers whose IDs begin with "dead" fail.
func newHarness(t *testing.T, serve serverHandler, servers ...string) *harness {
	t.Helper()
	h := &harness{
		received:  make(map[string][]*http.Request),
		runCounts: make(map[string]int),
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
		testRoute("state", "/book/state/", routing.Idempotent),
	})
	fleet := placement.New("north", func() (int, int) { return 0, 1 })
	fleet.Configure(conf)
	for _, id := range servers {
		fleet.Update([]routing.Server{testServer(id, 0)})
	}
	h.gateway = &gateway.Gateway{
		HeaderNames:     headerNames,
		DecodeStatement: platform.DecodeStatement,
		Configuration:   func() *routing.Configuration { return conf },
		Fleet:           fleet,
		Pool: &upstream.Pool{
			HeaderNames:      headerNames,
			MaxIdlePerServer: func(string) int { return 4 },
			Eligible:         fleet.Eligible,
			Dial:             h.dial(serve),
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
		Logger: &log.Logger{
			Level:      log.InfoLevel,
			TimeField:  "time",
			TimeFormat: "05.000",
			Writer:     log.IOWriter{Writer: &h.logOutput},
		},
		Metrics: metrics.NewRegistry(),
	}
	return h
}

// testRoute returns a route to service desk, whose timeout is two seconds.
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

// dial returns a dialer that connects to a server simulated by serve.
func (h *harness) dial(serve serverHandler) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) {
		if strings.HasPrefix(address, "dead") {
			return nil, &net.OpError{
				Op:  "dial",
				Err: io.ErrClosedPipe,
			}
		}
		entryConn, serverConn := net.Pipe()
		h.mu.Lock()
		h.serverConns = append(h.serverConns, serverConn)
		h.mu.Unlock()
		h.group.Go(func() {
			defer serverConn.Close()
			reader := bufio.NewReader(serverConn)
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
				h.mu.Lock()
				h.received[address] = append(h.received[address], request)
				h.mu.Unlock()
				if !serve(h, address, serverConn, request) {
					return
				}
			}
		})
		return entryConn, nil
	}
}

// testServer returns the registration of a server in service desk.
func testServer(id string, startUnixMS int64) routing.Server {
	return routing.Server{
		ID:            id,
		Service:       "desk",
		Address:       id,
		FailureDomain: "north-a",
		Region:        "north",
		Slots:         3,
		StartUnixMS:   startUnixMS,
	}
}

// restart registers a new incarnation of a server, as after a crash.
func (h *harness) restart(id string) {
	h.gateway.Fleet.Update([]routing.Server{testServer(id, time.Now().UnixNano())})
	h.gateway.Quarantine.CheckUnanswered()
}

// recordRun counts a run of a request in runCounts.
func (h *harness) recordRun(request *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runCounts[request.Header.Get(headerNames.RequestID)]++
}

// receivedRequests returns the requests that each server received, keyed by server ID.
func (h *harness) receivedRequests() map[string][]*http.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.received)
}

// runCount returns how many times a request ran.
func (h *harness) runCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runCounts[id]
}

// receivedCount returns the number of requests that all servers received.
func (h *harness) receivedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, requests := range h.received {
		count += len(requests)
	}
	return count
}

// close closes all connections and waits until the servers' goroutines end.
func (h *harness) close() {
	h.mu.Lock()
	for _, conn := range h.serverConns {
		conn.Close()
	}
	h.mu.Unlock()
	h.gateway.Pool.CloseStale(func(routing.Incarnation) bool { return false })
	h.group.Wait()
}

// send passes a caller's request to the gateway. aborted reports whether the gateway
// aborted the caller's connection instead of completing the response.
func (h *harness) send(request *http.Request) (response *httptest.ResponseRecorder, aborted bool) {
	response = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			aborted = true
		}
	}()
	h.gateway.ServeHTTP(response, request)
	return response, false
}

// newRequest returns a caller's request with a timeout of four seconds.
func newRequest(method, path, id, body string) *http.Request {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Host = "desk.example"
	request.Header.Set(headerNames.RequestID, id)
	request.Header.Set(headerNames.DeadlineMS, "4000")
	request.AddCookie(&http.Cookie{
		Name:  headerNames.ObjectCookie,
		Value: "17",
	})
	return request
}

// okResponse returns a server's complete response with status 200, as it is sent.
func okResponse(request *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sound\r\nContent-Length: %d\r\n\r\n%s",
		headerNames.RequestID, request.Header.Get(headerNames.RequestID), headerNames.ResponseStamp, len(body), body)
}

// respondOK is a serverHandler that runs each request and responds with success.
func respondOK(h *harness, _ string, conn net.Conn, request *http.Request) bool {
	h.recordRun(request)
	_, err := io.WriteString(conn, okResponse(request, "whole"))
	return err == nil
}
