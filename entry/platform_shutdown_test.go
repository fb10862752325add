package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
)

// TestShutdownLastsIntoTheEndOfTheGracePeriod guards against requests that a short grace period
// cuts off while servers are at work, before its last sixth.
func TestShutdownLastsIntoTheEndOfTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		lasts := shutdownTime(grace)
		assert.Assert(t, lasts >= grace*5/6 && lasts < grace, "%s of %s", lasts, grace)
	}
}

// stoppingEntry is an entry that serves callers and is stopped, and a server, all in memory.
type stoppingEntry struct {
	site     *platformSite
	node     *platformNode
	listener *memoryListener
	// reload delivers SIGHUP, and stop SIGTERM.
	reload chan os.Signal
	stop   context.CancelFunc
	// exited is closed when the entry has stopped, or was killed.
	exited chan struct{}
	exit   func()
	group  sync.WaitGroup

	mu sync.Mutex
	// sent holds the requests of callers. arrived holds those that reached the server, and
	// finished when it was done with them.
	sent     map[string]*stopRequest
	arrived  map[string]bool
	finished map[string]time.Time
}

// startStoppingEntry starts an entry with a grace period. It must be called in a synctest bubble.
func startStoppingEntry(t *testing.T, grace time.Duration) *stoppingEntry {
	t.Helper()
	e := &stoppingEntry{
		site: newPlatformSite(t, &platformSite{
			regions: 1,
			slots:   1000,
		}, 0, 1),
		listener: newMemoryListener(),
		reload:   make(chan os.Signal),
		exited:   make(chan struct{}),
		sent:     make(map[string]*stopRequest),
		arrived:  make(map[string]bool),
		finished: make(map[string]time.Time),
	}
	e.exit = sync.OnceFunc(func() { close(e.exited) })
	e.site.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, []byte(`{"version":2,
"services":[{"name":"desk","health_path":"/healthz","max_conns":3300,"cold_start":"1s","cold_per_s":500}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"book","prefix":"/book/","kind":"unsafe","timeout":"60s","goal":"50s","priority":1,"service":"desk","attempts":2},
{"name":"quick","prefix":"/quick/","kind":"unsafe","timeout":"3s","goal":"1s","priority":1,"service":"desk","attempts":2}]}]}`))
	n, peers := e.site.newNode(0)
	e.node = n
	n.pool.Dial = func(context.Context, string) (net.Conn, error) {
		entryEnd, serverEnd := net.Pipe()
		e.group.Go(func() { e.runServer(serverEnd) })
		e.closeAtExit(entryEnd)
		return entryEnd, nil
	}
	settings := *n.settings.Load()
	settings.Bounds.GracePeriod = grace
	n.settings.Store(&settings)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.group.Go(func() {
		defer e.exit()
		assert.Check(t, n.serve(ctx, platformSockets{
			callers: e.listener,
			peers:   peers,
		}, e.reload))
	})
	time.Sleep(2 * time.Second)
	return e
}

// closeAtExit closes a connection when the entry exits, as the system does.
func (e *stoppingEntry) closeAtExit(conn net.Conn) {
	e.group.Go(func() {
		<-e.exited
		conn.Close()
	})
}

// stopRequest is a request of a caller, and its end.
type stopRequest struct {
	id string
	// work is how long the server runs it, deadline how long its caller waits, and linkDelay how
	// long it and its response take between server and entry.
	work      time.Duration
	deadline  time.Duration
	linkDelay time.Duration
	chunked   bool
	// answerBytes is the size of the response's body, answerTime how long the server takes to
	// write it, and readTime how long the caller takes to read it. If endless is set, it ends with
	// the server's connection.
	answerBytes int
	answerTime  time.Duration
	readTime    time.Duration
	endless     bool
	sentAt      time.Time
	endedAt     time.Time
	// status is the status of the response, 0 if none came or its connection ended before its
	// body did. stamped is set if it came from the server.
	status  int
	stamped bool
}

// runServer answers the requests on a connection until it breaks.
func (e *stoppingEntry) runServer(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: i-0\r\nContent-Length: 0\r\n\r\n", platform.HeaderNames.InstanceID); err != nil {
				return
			}
			continue
		}
		id := request.Header.Get(platform.HeaderNames.RequestID)
		e.mu.Lock()
		sent := e.sent[id]
		e.arrived[id] = true
		e.mu.Unlock()
		time.Sleep(sent.linkDelay + sent.work)
		e.mu.Lock()
		e.finished[id] = time.Now()
		e.mu.Unlock()
		time.Sleep(sent.linkDelay)
		if writeAnswer(conn, sent) != nil || sent.endless {
			return
		}
	}
}

// writeAnswer writes the response to a request.
func writeAnswer(conn net.Conn, request *stopRequest) error {
	length := fmt.Sprintf("Content-Length: %d\r\n", request.answerBytes)
	if request.endless {
		length = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: i-0\r\n%s\r\n",
		platform.HeaderNames.RequestID, request.id, platform.HeaderNames.ResponseStamp, length); err != nil {
		return err
	}
	piece := make([]byte, max(1, request.answerBytes/100))
	for left := request.answerBytes; left > 0; left -= len(piece) {
		piece = piece[:min(left, len(piece))]
		time.Sleep(time.Duration(len(piece)) * request.answerTime / time.Duration(request.answerBytes))
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// connect opens a connection, on which a request is served if warmUp is set. It returns nil once
// the entry accepts none.
func (e *stoppingEntry) connect(t *testing.T, warmUp *stopRequest) *stopConn {
	t.Helper()
	conn, err := e.listener.dial()
	if err != nil {
		return nil
	}
	e.closeAtExit(conn)
	opened := &stopConn{
		Conn:   conn,
		entry:  e,
		reader: bufio.NewReader(conn),
	}
	if warmUp != nil {
		opened.send(warmUp)
		assert.Check(t, warmUp.stamped)
	}
	return opened
}

// stopConn is a caller's connection.
type stopConn struct {
	net.Conn
	entry  *stoppingEntry
	reader *bufio.Reader
}

// send sends a request and waits for its end.
func (c *stopConn) send(request *stopRequest) {
	c.entry.mu.Lock()
	c.entry.sent[request.id] = request
	c.entry.mu.Unlock()
	request.sentAt = time.Now()
	defer func() { request.endedAt = time.Now() }()
	body := "Content-Length: 5\r\n\r\noffer"
	if request.chunked {
		body = "Transfer-Encoding: chunked\r\n\r\n5\r\noffer\r\n0\r\n\r\n"
	}
	path := "/book/1"
	if request.deadline < time.Minute {
		path = "/quick/1"
	}
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\n%s",
		path, platform.HeaderNames.RequestID, request.id, platform.HeaderNames.DeadlineMS, request.deadline.Milliseconds(), body); err != nil {
		return
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return
	}
	if request.read(response.Body) != nil {
		return
	}
	request.status = response.StatusCode
	request.stamped = response.Header.Get(platform.HeaderNames.ResponseStamp) != ""
}

// read reads a body, at a rate at which one of answerBytes takes readTime.
func (r *stopRequest) read(body io.Reader) error {
	for buffer := make([]byte, 16<<10); ; {
		count, err := body.Read(buffer)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(time.Duration(count) * r.readTime / time.Duration(max(1, r.answerBytes)))
	}
}

// TestStopKeepsReloadedGracePeriod guards against a stop that lasts for the grace period with
// which the entry started, though its settings have changed since: a longer one is ended by
// SIGKILL, and a shorter one cuts off requests too early.
func TestStopKeepsReloadedGracePeriod(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	t.Setenv("TEASELSTACK_NODE_FILE", path)
	for _, test := range []struct{ started, reloaded time.Duration }{
		{
			started:  6 * time.Second,
			reloaded: 3 * time.Second,
		},
		{
			started:  3 * time.Second,
			reloaded: 6 * time.Second,
		},
	} {
		t.Run(fmt.Sprintf("%s-to-%s", test.started, test.reloaded), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startStoppingEntry(t, test.started)
				assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, `node=entry-0
region=region-0
zone=region-0-a
zones.region-0-a=region-0
ip=10.0.0.1
port_range=7720,7735
listen.front=10.0.0.1:8161
platform.addr=10.0.0.200:8169
limits.max_fds=4100
bounds.grace=%s
bounds.stable_window=7s
`, test.reloaded), 0o600))
				e.reload <- syscall.SIGHUP
				synctest.Wait()
				assert.Equal(t, e.node.registry.MaxLag(), 7*time.Second)
				request := &stopRequest{
					id:       "r1",
					work:     time.Minute,
					deadline: time.Minute,
				}
				conn := e.connect(t, nil)
				e.group.Go(func() { conn.send(request) })
				time.Sleep(time.Second)
				stoppedAt := time.Now()
				e.stop()
				<-e.exited
				took := time.Since(stoppedAt)
				e.group.Wait()
				assert.Equal(t, request.status, http.StatusBadGateway)
				answered := request.endedAt.Sub(stoppedAt)
				assert.Assert(t, answered >= test.reloaded*5/6 && took < test.reloaded, "answered %s, ended %s after SIGTERM", answered, took)
			})
		})
	}
}

// excusedTime is how long after SIGTERM requests may be sent that the end of the grace period cuts
// off at work.
const excusedTime = 3 * time.Second

// lossIn describes how a request was lost in a stop; "" if it was not. Broken off are requests
// that have reached a server and end with their connection or with a failure of the entry. That
// is excused if their time is over, and if they were sent soon after SIGTERM and their server was
// at work in the last sixth of the grace period.
func (e *stoppingEntry) lossIn(request *stopRequest, stoppedAt time.Time, grace time.Duration) string {
	e.mu.Lock()
	arrived, finished := e.arrived[request.id], e.finished[request.id]
	e.mu.Unlock()
	workEnd := finished
	if finished.IsZero() || finished.After(request.endedAt) {
		workEnd = request.endedAt
	}
	excused := request.endedAt.Sub(request.sentAt) >= request.deadline ||
		!request.sentAt.After(stoppedAt.Add(excusedTime)) && !workEnd.Before(stoppedAt.Add(grace*5/6))
	if !arrived || request.stamped || excused && request.status != http.StatusServiceUnavailable {
		return ""
	}
	return fmt.Sprintf("%s, sent %s after SIGTERM with %s left, got status %d %s after SIGTERM; the server was done %s after SIGTERM", request.id,
		request.sentAt.Sub(stoppedAt), request.deadline, request.status, request.endedAt.Sub(stoppedAt), finished.Sub(stoppedAt))
}

// TestStopBreaksOffExcusedRequestsOnly guards against requests that the end of a stop breaks off
// although they were sent late, or their server was done before the last sixth of the grace
// period, for short and long grace periods, delays of SIGTERM, and delays to the server.
func TestStopBreaksOffExcusedRequestsOnly(t *testing.T) {
	for _, grace := range []time.Duration{
		500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second,
		5 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second, 20 * time.Second, 30 * time.Second,
	} {
		for _, signalDelay := range []time.Duration{0, 150 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s-signal-delay-%s", grace, signalDelay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testStop(t, grace, signalDelay) })
			})
		}
	}
}

// testStop stops an entry a delay after its SIGTERM, while callers send requests on connections
// that they open then, have opened before, or have used before, and checks that none is lost.
func testStop(t *testing.T, grace, signalDelay time.Duration) {
	e := startStoppingEntry(t, grace)
	random := rand.New(rand.NewPCG(1, uint64(grace)))
	stoppedAt := time.Now().Add(2 * time.Second)
	e.group.Go(func() {
		time.Sleep(time.Until(stoppedAt.Add(signalDelay)))
		e.stop()
	})
	var requests []*stopRequest
	var callers sync.WaitGroup
	for at := stoppedAt.Add(-time.Second); at.Before(stoppedAt.Add(min(grace, 6*time.Second))); at = at.Add(10 * time.Millisecond) {
		request := &stopRequest{
			id:        fmt.Sprintf("r%d", len(requests)),
			work:      time.Duration(random.Int64N(int64(2 * grace))),
			deadline:  []time.Duration{time.Second, 2 * time.Second, time.Minute}[random.IntN(3)],
			linkDelay: []time.Duration{0, 10 * time.Millisecond, 55 * time.Millisecond}[random.IntN(3)],
			chunked:   random.IntN(2) == 0,
		}
		if random.IntN(2) == 0 {
			// The server is done just before the last sixth of the grace period.
			request.work = max(0, stoppedAt.Add(grace*5/6).Sub(at)-request.linkDelay-time.Millisecond)
		}
		requests = append(requests, request)
		connectAt, warmUp := at, (*stopRequest)(nil)
		if random.IntN(3) > 0 {
			connectAt = stoppedAt.Add(-time.Duration(random.Int64N(int64(2 * time.Second))))
			if random.IntN(2) == 0 {
				warmUp = &stopRequest{
					id:       "before-" + request.id,
					deadline: time.Second,
					chunked:  request.chunked,
				}
			}
		}
		callers.Go(func() {
			time.Sleep(time.Until(connectAt))
			if conn := e.connect(t, warmUp); conn != nil {
				time.Sleep(time.Until(at))
				conn.send(request)
				conn.Close()
			}
		})
	}
	kill := time.AfterFunc(time.Until(stoppedAt.Add(grace)), e.exit)
	<-e.exited
	killed := !kill.Stop()
	callers.Wait()
	e.group.Wait()
	answers := make(map[string]int)
	for _, request := range requests {
		if loss := e.lossIn(request, stoppedAt, grace); loss != "" {
			t.Error(loss)
		}
		if request.sentAt.After(stoppedAt) {
			answers[fmt.Sprintf("%d stamped=%t late=%t", request.status, request.stamped, request.sentAt.After(stoppedAt.Add(excusedTime)))]++
		}
	}
	assert.Check(t, !killed || signalDelay > 0, "the entry was killed")
	t.Logf("killed %t: %v", killed, answers)
}

// TestStopDeliversAnswersThatHaveBegun guards against answers that the end of a stop cuts while
// their callers read them, although there is time left until the end of the grace period.
func TestStopDeliversAnswersThatHaveBegun(t *testing.T) {
	for _, test := range []struct {
		name string
		// want is the status, 200 if it is 0.
		want    int
		request stopRequest
	}{
		{
			name: "slow-caller",
			request: stopRequest{
				work:        4500 * time.Millisecond,
				answerBytes: 200 << 10,
				readTime:    1100 * time.Millisecond,
			},
		},
		{
			name: "slow-caller-of-large-body",
			request: stopRequest{
				work:        4500 * time.Millisecond,
				answerBytes: 1 << 20,
				readTime:    1100 * time.Millisecond,
			},
		},
		{
			name: "slow-caller-of-large-body-without-length",
			request: stopRequest{
				work:        4500 * time.Millisecond,
				answerBytes: 1 << 20,
				readTime:    1100 * time.Millisecond,
				endless:     true,
			},
		},
		{
			name: "slow-server-of-large-body",
			request: stopRequest{
				work:        4500 * time.Millisecond,
				answerBytes: 1 << 20,
				answerTime:  1100 * time.Millisecond,
			},
		},
		{
			// Nothing of it has reached the caller.
			name: "slow-server-of-small-body",
			want: http.StatusBadGateway,
			request: stopRequest{
				work:        4500 * time.Millisecond,
				answerBytes: 1 << 10,
				answerTime:  1300 * time.Millisecond,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const grace = 6 * time.Second
				e := startStoppingEntry(t, grace)
				request := &test.request
				request.id, request.deadline = "r1", time.Minute
				conn := e.connect(t, nil)
				stoppedAt := time.Now()
				e.stop()
				e.group.Go(func() { conn.send(request) })
				<-e.exited
				took := time.Since(stoppedAt)
				e.group.Wait()
				assert.Assert(t, took < grace)
				assert.Equal(t, request.status, cmp.Or(test.want, http.StatusOK), "ended %s after SIGTERM", request.endedAt.Sub(stoppedAt))
			})
		})
	}
}

// TestStopAwaitsUncountedRequests guards against a stop that gives up, long before its end, a
// request that the pipeline doesn't count: one that came to the gateway without it.
func TestStopAwaitsUncountedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startStoppingEntry(t, 6*time.Second)
		e.sent["r1"] = &stopRequest{
			id:   "r1",
			work: 4500 * time.Millisecond,
		}
		incoming := httptest.NewRequest(http.MethodPost, "http://desk.example/book/1", strings.NewReader("offer"))
		incoming.Header.Set(platform.HeaderNames.RequestID, "r1")
		e.stop()
		response := httptest.NewRecorder()
		e.node.gateway.ServeHTTP(response, incoming)
		<-e.exited
		e.group.Wait()
		assert.Equal(t, response.Code, http.StatusOK)
	})
}
