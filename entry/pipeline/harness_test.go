package pipeline_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/budget"
	"github.com/teaselstack/teaselstack/entry/pipeline"
)

// harness is an http.Server behind a pipeline.Handler, and one caller's connection to it.
// The handler runs a request for as many milliseconds as the first element of the path
// behind the kind says: /safe/300/x for an idempotent request, /effect/300/x for one that
// is not.
type harness struct {
	handler  *pipeline.Handler
	server   *http.Server
	listener *pipeListener
	// caller is the caller's end of the connection.
	caller net.Conn
	reader *bufio.Reader
	began  time.Time
	group  sync.WaitGroup

	mu           sync.Mutex
	shuttingDown bool
	// starts and ends hold the times at which requests began and ended to run, since the
	// test began, and canceled the requests whose context ended before. They are keyed by
	// the request URI.
	starts   map[string]time.Duration
	ends     map[string]time.Duration
	canceled map[string]bool
	// running and maxRunning are the current and the largest number of requests that run.
	running    int
	maxRunning int
	logOutput  bytes.Buffer
}

// memoryLimit is the limit of the harness's budget. Half of it may hold responses back.
const memoryLimit = 64 << 20

// pipeListener is a net.Listener whose Accept returns the connections sent to conns. Like that of
// a *net.TCPListener, its Accept has a deadline, and its Close fails if it is closed already.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	// expired is closed at the deadline.
	expired    chan struct{}
	expireOnce sync.Once
}

// newPipeListener returns an open pipeListener without a deadline.
func newPipeListener() *pipeListener {
	return &pipeListener{
		conns:   make(chan net.Conn, 4),
		done:    make(chan struct{}),
		expired: make(chan struct{}),
	}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.expired:
		return nil, os.ErrDeadlineExceeded
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// SetDeadline sets the deadline of Accept. It can't be moved later.
func (p *pipeListener) SetDeadline(deadline time.Time) error {
	select {
	case <-p.done:
		return net.ErrClosed
	default:
	}
	time.AfterFunc(time.Until(deadline), func() { p.expireOnce.Do(func() { close(p.expired) }) })
	return nil
}

func (p *pipeListener) Close() error {
	err := net.ErrClosed
	p.once.Do(func() {
		close(p.done)
		err = nil
	})
	return err
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// withHarness runs a test in a synctest bubble.
func withHarness(t *testing.T, test func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(true)
		test(t, h)
		synctest.Wait()
		if h.handler.Outstanding() == 0 {
			assert.Equal(t, h.handler.Budget.Held(), int64(0), "memory of requests that are answered")
		}
		h.close()
		assert.Equal(t, h.handler.Outstanding(), 0)
	})
}

// newHarness returns a harness with one connection. If pipelined is false, the http.Server
// has the connection without a pipeline.Handler.
func newHarness(pipelined bool) *harness {
	h := &harness{
		listener: newPipeListener(),
		began:    time.Now(),
		starts:   make(map[string]time.Duration),
		ends:     make(map[string]time.Duration),
		canceled: make(map[string]bool),
	}
	h.handler = &pipeline.Handler{
		Next: http.HandlerFunc(h.serve),
		Refuse: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "refused", http.StatusServiceUnavailable)
		}),
		Idempotent:      func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, "/safe/") },
		ShuttingDown:    func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.shuttingDown },
		RequestIDHeader: "X-Id",
		Budget: &budget.Budget{
			Limit: func() int64 { return memoryLimit },
		},
		Logger: &log.Logger{
			Writer: log.IOWriter{
				Writer: &h.logOutput,
			},
		},
	}
	h.server = &http.Server{
		Handler:     h.handler,
		ConnContext: h.handler.ConnContext,
		ConnState:   h.handler.ConnState,
		ErrorLog:    stdlog.New(io.Discard, "", 0),
	}
	listener := net.Listener(h.listener)
	if pipelined {
		listener = h.handler.Listener(listener)
	} else {
		h.server.Handler = http.HandlerFunc(h.serve)
		h.server.ConnContext = nil
		h.server.ConnState = nil
	}
	h.group.Go(func() { _ = h.server.Serve(listener) })
	h.caller = h.dial()
	h.reader = bufio.NewReader(h.caller)
	return h
}

// dial opens another connection.
func (h *harness) dial() net.Conn {
	caller, entry := net.Pipe()
	h.listener.conns <- entry
	return caller
}

// close closes the caller's connection and stops the server.
func (h *harness) close() {
	h.caller.Close()
	synctest.Wait()
	h.server.Close()
	h.group.Wait()
	// Handlers may still sleep.
	time.Sleep(time.Minute)
}

// serve runs a request. A path with the element "abort", "panic" or "big" makes it abort,
// panic, or respond with bigBody bytes.
func (h *harness) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	h.record(h.starts, request)
	h.addRunning(1)
	defer h.addRunning(-1)
	elements := strings.Split(request.URL.Path, "/")
	milliseconds := 0
	if len(elements) > 2 {
		milliseconds, _ = strconv.Atoi(elements[2])
	}
	timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		h.mu.Lock()
		h.canceled[request.RequestURI] = true
		h.mu.Unlock()
	}
	h.record(h.ends, request)
	switch {
	case strings.Contains(request.URL.Path, "abort"):
		panic(http.ErrAbortHandler)
	case strings.Contains(request.URL.Path, "panic"):
		panic(errors.New("unexpected"))
	case strings.Contains(request.URL.Path, "big"):
		_, _ = w.Write(make([]byte, bigBody))
		return
	}
	w.Header().Set("X-Id", request.Header.Get("X-Id"))
	fmt.Fprintf(w, "%s %s %q %v", request.Method, request.RequestURI, body, err)
}

// bigBody is the size of a big response, in bytes. Four of them exceed what is held back.
const bigBody = 9 << 20

func (h *harness) record(times map[string]time.Duration, request *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	times[request.RequestURI] = time.Since(h.began)
}

func (h *harness) addRunning(count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running += count
	h.maxRunning = max(h.maxRunning, h.running)
}

// startOf returns when a request began to run, and whether it did.
func (h *harness) startOf(uri string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start, found := h.starts[uri]
	return start, found
}

// setShuttingDown begins or ends the shutdown.
func (h *harness) setShuttingDown(shuttingDown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shuttingDown = shuttingDown
}

// get returns a request without a body, as it is sent.
func get(uri string) string {
	return "GET " + uri + " HTTP/1.1\r\nHost: desk.example\r\nX-Id: " + uri + "\r\n\r\n"
}

// send sends bytes without waiting until they are read.
func (h *harness) send(data string) {
	h.group.Go(func() {
		// The connection may be closed before everything is read.
		_, _ = io.WriteString(h.caller, data)
	})
}

// response is a response and the time of its end since the test began.
type response struct {
	status int
	body   string
	close  bool
	at     time.Duration
}

// receive reads a response to a request with a method.
func (h *harness) receive(method string) (response, error) {
	received, err := http.ReadResponse(h.reader, &http.Request{
		Method: method,
	})
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(received.Body)
	return response{
		status: received.StatusCode,
		body:   string(body),
		close:  received.Close,
		at:     time.Since(h.began),
	}, err
}

// mustReceive reads a response to a GET request, which must have status 200 and belong to
// the request.
func (h *harness) mustReceive(t *testing.T, uri string) response {
	t.Helper()
	received, err := h.receive(http.MethodGet)
	assert.NilError(t, err, uri)
	assert.Equal(t, received.status, http.StatusOK, uri)
	assert.Assert(t, strings.HasPrefix(received.body, "GET "+uri+" "), "%s got %s", uri, received.body)
	return received
}

// mustBeClosed checks that the connection ends without a further byte.
func (h *harness) mustBeClosed(t *testing.T) {
	t.Helper()
	rest, _ := io.ReadAll(h.reader)
	assert.Equal(t, string(rest), "")
}

// drain calls Drain with a timeout.
func (h *harness) drain(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return h.handler.Drain(ctx)
}
