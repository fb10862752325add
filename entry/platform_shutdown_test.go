package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
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
	listener *memoryListener
	// reload delivers SIGHUP, and stop SIGTERM.
	reload chan os.Signal
	stop   context.CancelFunc
	// exited is closed when the entry has stopped.
	exited chan struct{}
	group  sync.WaitGroup

	mu sync.Mutex
	// arrived holds the requests that reached the server, and finished when it was done with
	// them.
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
		arrived:  make(map[string]bool),
		finished: make(map[string]time.Time),
	}
	e.site.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, []byte(`{"version":2,
"services":[{"name":"desk","health_path":"/healthz","max_conns":3300,"cold_start":"1s","cold_per_s":500}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"book","prefix":"/book/","kind":"unsafe","timeout":"60s","goal":"50s","priority":1,"service":"desk","attempts":2}]}]}`))
	n, peers := e.site.newNode(0)
	n.pool.Dial = func(context.Context, string) (net.Conn, error) {
		entryEnd, serverEnd := net.Pipe()
		e.group.Go(func() { e.runServer(serverEnd) })
		return entryEnd, nil
	}
	settings := *n.settings.Load()
	settings.Bounds.GracePeriod = grace
	n.settings.Store(&settings)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.group.Go(func() {
		defer close(e.exited)
		assert.Check(t, n.serve(ctx, platformSockets{
			callers: e.listener,
			peers:   peers,
		}, e.reload))
	})
	time.Sleep(2 * time.Second)
	return e
}

// stopRequest is a request of a caller, and its end.
type stopRequest struct {
	id string
	// work is how long the server runs it, deadline how long its caller waits, and linkDelay how
	// long it and its response take between server and entry.
	work      time.Duration
	deadline  time.Duration
	linkDelay time.Duration
	sentAt    time.Time
	endedAt   time.Time
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
		id := request.Header.Get(platform.HeaderNames.RequestID)
		work, _ := time.ParseDuration(request.Header.Get("Work"))
		linkDelay, _ := time.ParseDuration(request.Header.Get("Link-Delay"))
		e.mu.Lock()
		e.arrived[id] = true
		e.mu.Unlock()
		time.Sleep(linkDelay + work)
		e.mu.Lock()
		e.finished[id] = time.Now()
		e.mu.Unlock()
		time.Sleep(linkDelay)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: i-0\r\nContent-Length: 5\r\n\r\nwhole",
			platform.HeaderNames.RequestID, id, platform.HeaderNames.ResponseStamp); err != nil {
			return
		}
	}
}

// send sends a request on a connection of its own and waits for its end, or that of the entry.
// It reports whether the entry accepted the connection.
func (e *stoppingEntry) send(request *stopRequest) bool {
	conn, err := e.listener.dial()
	if err != nil {
		return false
	}
	defer conn.Close()
	request.sentAt = time.Now()
	defer func() { request.endedAt = time.Now() }()
	e.group.Go(func() {
		<-e.exited
		conn.Close()
	})
	if _, err := fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\nWork: %s\r\nLink-Delay: %s\r\nContent-Length: 5\r\n\r\noffer",
		platform.HeaderNames.RequestID, request.id, platform.HeaderNames.DeadlineMS, request.deadline.Milliseconds(), request.work, request.linkDelay); err != nil {
		return true
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return true
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return true
	}
	request.status = response.StatusCode
	request.stamped = response.Header.Get(platform.HeaderNames.ResponseStamp) != ""
	return true
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
`, test.reloaded), 0o600))
				e.reload <- syscall.SIGHUP
				synctest.Wait()
				request := &stopRequest{
					id:       "r1",
					work:     time.Minute,
					deadline: time.Minute,
				}
				e.group.Go(func() { e.send(request) })
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
