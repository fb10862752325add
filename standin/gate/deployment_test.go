// Package gate_test runs entry processes with the option --platform against
// in-process stand-ins for the platform's store, the backend servers and the callers.
package gate_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/server"
	"github.com/teaselstack/teaselstack/standin/store"
)

// entryBinary is the path of the entry program, which TestMain builds.
var entryBinary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		directory, err := os.MkdirTemp("", "gate")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(directory) }()
		entryBinary = filepath.Join(directory, "entry")
		build := exec.Command("go", "build", "-o", entryBinary, "./entry")
		build.Dir = "../.."
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build the entry: %v\n%s", err, output)
			return 1
		}
		return m.Run()
	}())
}

// drainTime and gracePeriod are the values of bounds.drain and bounds.grace in the
// settings of every entry.
const (
	drainTime   = 2500 * time.Millisecond
	gracePeriod = 3 * time.Second
)

// failureDomains lists the failure domains with their regions. Each runs one
// entry.
var failureDomains = []struct{ name, region string }{
	{"north-a", "north"},
	{"north-b", "north"},
	{"south-a", "south"},
	// With these, one of the entries in north reads the store for the others.
	{"north-c", "north"},
	{"north-d", "north"},
}

// deployment holds the processes and stand-ins of one running deployment, and
// what its callers observed.
type deployment struct {
	t *testing.T
	// ipPrefix is the first three bytes of all IP addresses of the deployment, as text.
	ipPrefix string
	store    *store.Server
	recorder *server.RunRecorder
	servers  []*server.Server
	// proxies holds the proxy of the server with the same index.
	proxies []*server.Proxy
	// entries holds the entry of the failure domain with the same index.
	entries []*process
	// group starts the goroutines that serve the store and the proxies. Nothing waits
	// for them.
	group sync.WaitGroup
	// configurationVersion is the version that was published last.
	configurationVersion int
	// lastDrain is when the soak test last began the drain of a server.
	lastDrain time.Time

	// sent counts the requests of the callers, and served those whose responses had
	// status 200 and the right content.
	sent   atomic.Int64
	served atomic.Int64
	mu     sync.Mutex
	// refused holds the IDs of the requests answered with status 429 or 503, which
	// must not have run.
	refused []string
	// violations describes each case in which a guarantee was broken.
	violations []string
}

// process is the latest process of an entry, with its settings and the output of this
// process and the earlier ones.
type process struct {
	name         string
	ip           string
	settingsFile string
	command      *exec.Cmd
	output       bytes.Buffer
}

// deploymentCount is the number of deployments that this test process has
// started. It gives each an IP address range of its own.
var deploymentCount atomic.Uint32

// startDeployment starts a store, servers behind proxies, and the entries, and
// waits until all entries are ready.
func startDeployment(t *testing.T, serverCount int) *deployment {
	t.Helper()
	d := &deployment{
		t:        t,
		ipPrefix: fmt.Sprintf("127.%d.%d", 96+os.Getpid()%120, deploymentCount.Add(1)),
		store:    store.New(),
		recorder: &server.RunRecorder{},
	}
	d.serveHTTP(d.ipPrefix+".200:8169", d.store)
	d.publishConfiguration("")
	for i := range serverCount {
		d.addServer(i)
	}
	for i := range failureDomains {
		d.startEntry(i)
	}
	t.Cleanup(d.killEntries)
	d.eventually("all entries are ready", func() bool {
		for _, entry := range d.entries {
			if !d.ready(entry) {
				return false
			}
		}
		return true
	})
	return d
}

// serveHTTP serves HTTP on an address until the test ends.
func (d *deployment) serveHTTP(address string, handler http.Handler) {
	listener, err := net.Listen("tcp4", address)
	assert.NilError(d.t, err)
	server := &http.Server{
		Handler: handler,
	}
	d.group.Go(func() { _ = server.Serve(listener) })
	d.t.Cleanup(func() { server.Close() })
}

// publishConfiguration publishes a new version of the configuration. It has the routes
// browse and book, followed by extraRoutes: JSON objects, each after a comma.
func (d *deployment) publishConfiguration(extraRoutes string) {
	d.configurationVersion += 3
	d.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":%d,
"services":[{"name":"desk","health_path":"/healthz","max_conns":330,"cold_start":"1s","cold_per_s":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"browse","prefix":"/browse/","kind":"safe","timeout":"1500ms","goal":"300ms","priority":2,"service":"desk","attempts":2,"sticky":true},
{"name":"book","prefix":"/book/","kind":"unsafe","timeout":"1500ms","goal":"300ms","priority":1,"service":"desk","attempts":2,"sticky":true}%s]}]}`,
		d.configurationVersion, extraRoutes))
}

// addServer starts the server with an index and a proxy in front of it. The server
// registers the address of the proxy.
func (d *deployment) addServer(index int) {
	domain := failureDomains[index%len(failureDomains)]
	serverAddress := fmt.Sprintf("%s.%d:8080", d.ipPrefix, 20+index)
	proxyAddress := fmt.Sprintf("%s.%d:8081", d.ipPrefix, 20+index)
	proxy := &server.Proxy{
		Target: serverAddress,
	}
	listener, err := net.Listen("tcp4", proxyAddress)
	assert.NilError(d.t, err)
	d.group.Go(func() { proxy.Serve(listener) })
	d.t.Cleanup(func() { listener.Close() })
	backend := &server.Server{
		ID:            fmt.Sprintf("i-%d", index),
		Service:       "desk",
		FailureDomain: domain.name,
		Slots:         3,
		WorkTime:      30 * time.Millisecond,
		Address:       proxyAddress,
		DrainTime:     drainTime,
		Recorder:      d.recorder,
		Store:         d.store,
	}
	d.servers = append(d.servers, backend)
	d.proxies = append(d.proxies, proxy)
	d.startServer(backend, serverAddress)
	d.t.Cleanup(backend.Crash)
}

// startServer starts a server on an address, for the first time or after a crash.
func (d *deployment) startServer(backend *server.Server, address string) {
	listener, err := net.Listen("tcp4", address)
	assert.NilError(d.t, err)
	backend.Start(listener)
}

// startEntry starts the entry of a failure domain, for the first time or again.
func (d *deployment) startEntry(index int) {
	if index == len(d.entries) {
		d.entries = append(d.entries, &process{
			name:         fmt.Sprintf("front-%d", index),
			ip:           fmt.Sprintf("%s.%d", d.ipPrefix, 10+index),
			settingsFile: filepath.Join(d.t.TempDir(), "settings"),
		})
	}
	entry := d.entries[index]
	assert.NilError(d.t, os.WriteFile(entry.settingsFile, []byte(d.entrySettings(index)), 0o600))
	entry.command = exec.Command(entryBinary, "--platform")
	entry.command.Env = append(os.Environ(), "TEASELSTACK_NODE_FILE="+entry.settingsFile)
	entry.command.Stdout = &entry.output
	entry.command.Stderr = &entry.output
	assert.NilError(d.t, entry.command.Start())
}

// entrySettings returns the content of an entry's settings file.
func (d *deployment) entrySettings(index int) string {
	entry := d.entries[index]
	lines := []string{
		"node=" + entry.name, "ip=" + entry.ip, "zone=" + failureDomains[index].name, "region=" + failureDomains[index].region,
		"listen.front=" + entry.ip + ":8161", "listen.ready=" + entry.ip + ":8167", "listen.directory=" + entry.ip + ":8164",
		"listen.control=" + entry.ip + ":8166", "port_range=7720,7735",
		"seeds=" + d.ipPrefix + ".10:8166," + d.ipPrefix + ".11:8166",
		"heartbeat=1500ms", "limits.memory_mb=284", "limits.max_fds=4100",
		"bounds.stable_window=3s", "bounds.drain=" + drainTime.String(), "bounds.grace=" + gracePeriod.String(),
		"bounds.config_apply=2500ms", "bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=56",
		"bounds.cold_overshoot=1.5", "bounds.cold_slack=5", "bounds.evacuate=5s", "bounds.ttl_max=5s",
		"platform.addr=" + d.ipPrefix + ".200:8169",
	}
	for _, domain := range failureDomains {
		lines = append(lines, "zones."+domain.name+"="+domain.region)
	}
	return strings.Join(lines, "\n") + "\n"
}

// signalEntry sends a signal to an entry that this test started.
func (d *deployment) signalEntry(index int, signal syscall.Signal) {
	// The error says that the process has already exited.
	_ = d.entries[index].command.Process.Signal(signal)
}

// waitEntry waits until the process of an entry has exited. It returns an error if
// the exit status is not 0.
func (d *deployment) waitEntry(index int) error { return d.entries[index].command.Wait() }

// killEntries kills all entries. If the test failed, it logs the end of their
// output.
func (d *deployment) killEntries() {
	for i := range d.entries {
		d.signalEntry(i, syscall.SIGCONT)
		d.signalEntry(i, syscall.SIGKILL)
		_ = d.waitEntry(i)
		if d.t.Failed() {
			log := d.entries[i].output.Bytes()
			d.t.Logf("%s: %s", d.entries[i].name, log[max(0, len(log)-3000):])
		}
	}
}

// ready reports whether the readiness probe of an entry succeeds.
func (d *deployment) ready(entry *process) bool {
	client := http.Client{
		Timeout: time.Second,
	}
	resp, err := client.Get("http://" + entry.ip + ":8167/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until a condition holds, and fails the test if that takes more
// than 20 s. The event describes the condition for the message of a failure.
func (d *deployment) eventually(event string, happened func() bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if happened() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", event)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// runCaller acts as one caller until ctx is done: for each request it looks up
// an entry, sends the request once and checks the response.
func (d *deployment) runCaller(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{
		Timeout: 4 * time.Second,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 2,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		address := d.lookUp(client, random)
		if address != "" {
			d.sendRequest(client, address, fmt.Sprintf("c%d-%d", seed, number), random)
		}
		sleep(ctx, time.Duration(random.IntN(int(40*time.Millisecond))))
	}
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// lookUp asks the entries in random order for the addresses of the service. It
// returns one of those in the first response that contains any, or "" if no response
// does.
func (d *deployment) lookUp(client *http.Client, random *rand.Rand) string {
	for _, index := range random.Perm(len(failureDomains)) {
		resp, err := client.Get("http://" + d.ipPrefix + fmt.Sprintf(".%d", 10+index) + ":8164/v1/resolve?name=desk.example&region=" + failureDomains[index].region + "&zone=" + failureDomains[index].name)
		if err != nil {
			continue
		}
		var resolution platform.LookupResponse
		err = json.NewDecoder(resp.Body).Decode(&resolution)
		resp.Body.Close()
		if err == nil && len(resolution.Addresses) > 0 {
			return resolution.Addresses[random.IntN(len(resolution.Addresses))]
		}
	}
	return ""
}

// sendRequest sends one request to an entry, to the safe route browse or the unsafe
// route book, and checks the response. A request without a response counts only as
// sent.
func (d *deployment) sendRequest(client *http.Client, address, id string, random *rand.Rand) {
	method, path := http.MethodGet, "/browse/"
	if random.IntN(2) == 0 {
		method, path = http.MethodPost, "/book/"
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("offer"))
	if err != nil {
		d.recordViolation("request %s: %v", id, err)
		return
	}
	request.Host = "desk.example"
	request.Header.Set(platform.HeaderNames.RequestID, id)
	request.Header.Set(platform.HeaderNames.DeadlineMS, "4000")
	request.AddCookie(&http.Cookie{
		Name:  platform.HeaderNames.ObjectCookie,
		Value: fmt.Sprint(random.IntN(30)),
	})
	d.sent.Add(1)
	resp, err := client.Do(request)
	if err != nil {
		return
	}
	content, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK && err == nil && (string(content) != server.ResponseBody(id) || resp.Header.Get(platform.HeaderNames.ResponseStamp) == ""):
		d.recordViolation("request %s got %q", id, content)
	case resp.StatusCode == http.StatusOK && err == nil:
		d.served.Add(1)
	case resp.StatusCode == http.StatusNotFound:
		d.recordViolation("request %s was answered with 404 although its route exists", id)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		d.mu.Lock()
		d.refused = append(d.refused, id)
		d.mu.Unlock()
	}
	if method == http.MethodPost && d.recorder.Runs(id) > 1 {
		d.recordViolation("request %s ran %d times", id, d.recorder.Runs(id))
	}
}

// runPipeliningCaller is like runCaller, but sends several requests at once on each
// connection, and makes a new connection after that.
func (d *deployment) runPipeliningCaller(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	client := &http.Client{
		Timeout: 4 * time.Second,
	}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		if address := d.lookUp(client, random); address != "" {
			d.sendPipelined(address, fmt.Sprintf("p%d-%d", seed, number), random)
		}
		sleep(ctx, time.Duration(random.IntN(int(80*time.Millisecond))))
	}
}

// sendPipelined sends four requests to an entry at once, the third one to the unsafe route
// book, and checks the responses. Requests behind a response that closes the connection count
// as not sent.
func (d *deployment) sendPipelined(address, id string, random *rand.Rand) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
		d.recordViolation("request %s: %v", id, err)
		return
	}
	var data strings.Builder
	paths := []string{"GET /browse/", "GET /browse/", "POST /book/", "GET /browse/"}
	for i, path := range paths {
		fmt.Fprintf(&data, "%s HTTP/1.1\r\nHost: desk.example\r\n%s: %s-%d\r\n%s: 4000\r\nCookie: %s=%d\r\nContent-Length: 0\r\n\r\n",
			path, platform.HeaderNames.RequestID, id, i, platform.HeaderNames.DeadlineMS, platform.HeaderNames.ObjectCookie, random.IntN(30))
	}
	if _, err := io.WriteString(conn, data.String()); err != nil {
		return
	}
	d.sent.Add(int64(len(paths)))
	reader := bufio.NewReader(conn)
	for i := range paths {
		requestID := fmt.Sprintf("%s-%d", id, i)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		content, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusOK && err == nil && (string(content) != server.ResponseBody(requestID) || resp.Header.Get(platform.HeaderNames.ResponseStamp) == ""):
			d.recordViolation("request %s got %q", requestID, content)
		case resp.StatusCode == http.StatusOK && err == nil:
			d.served.Add(1)
		case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
			d.mu.Lock()
			d.refused = append(d.refused, requestID)
			d.mu.Unlock()
		}
		if d.recorder.Runs(requestID) > 1 && i == 2 {
			d.recordViolation("request %s ran %d times", requestID, d.recorder.Runs(requestID))
		}
		if resp.Close {
			d.sent.Add(int64(i + 1 - len(paths)))
			return
		}
	}
}

// pipeliningCallerCount is the number of callers in underLoad that pipeline requests.
const pipeliningCallerCount = 2

// recordViolation records that a guarantee was broken; underLoad reports it.
func (d *deployment) recordViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// underLoad runs a scenario while callers send requests, and then checks that
// no guarantee was broken: each response belongs to its request, none has status
// 404, no unsafe request ran twice, no request that was refused as not run did run,
// and no server started a request after its drain time.
func (d *deployment) underLoad(callers int, scenario func()) {
	d.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var callerGroup sync.WaitGroup
	for i := range callers {
		callerGroup.Go(func() { d.runCaller(ctx, uint64(i)) })
	}
	for i := range pipeliningCallerCount {
		callerGroup.Go(func() { d.runPipeliningCaller(ctx, uint64(i)) })
	}
	scenario()
	stop()
	callerGroup.Wait()
	for _, id := range d.refused {
		if d.recorder.Runs(id) > 0 {
			d.recordViolation("request %s was refused as not run, but ran", id)
		}
	}
	d.violations = append(d.violations, d.recorder.LateStarts()...)
	assert.Equal(d.t, len(d.violations), 0, "%s", strings.Join(d.violations, "\n"))
	d.t.Logf("sent %d, served %d, refused %d", d.sent.Load(), d.served.Load(), len(d.refused))
}

// awaitServing waits for an interval in which at least 90 % of the requests were
// served. An interval ends once at least minRequestsPerInterval requests were sent in
// it.
func (d *deployment) awaitServing() {
	d.t.Helper()
	sentBefore, servedBefore := d.sent.Load(), d.served.Load()
	d.eventually("requests are served", func() bool {
		sent := d.sent.Load() - sentBefore
		if sent < minRequestsPerInterval {
			return false
		}
		mostServed := float64(d.served.Load()-servedBefore) >= 0.9*float64(sent)
		sentBefore, servedBefore = d.sent.Load(), d.served.Load()
		return mostServed
	})
}

// minRequestsPerInterval is the minimum number of requests in an interval of
// awaitServing.
const minRequestsPerInterval = 60
