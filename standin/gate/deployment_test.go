// Package gate_test runs entry processes with the option --platform against
// in-process stand-ins for the platform's store, the backend servers and the callers.
package gate_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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

const (
	// drainTime is the value of bounds.drain in the settings of every entry.
	drainTime = 2500 * time.Millisecond
	// gracePeriod is the grace period of a deployment that sets no other.
	gracePeriod = 3 * time.Second
)

// withGracePeriod sets the grace period of the entries.
func withGracePeriod(grace time.Duration) func(*deployment) {
	return func(d *deployment) { d.gracePeriod = grace }
}

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
	// gracePeriod is the value of bounds.grace in the settings of every entry.
	gracePeriod time.Duration
	// extraSettings holds lines that replace settings of every entry.
	extraSettings []string
	// configurationVersion is the version that was published last.
	configurationVersion int
	// extraRoutes are those of the configuration that was published last.
	extraRoutes string
	// evacuated holds the failure domains for which operators have written an evacuation, and
	// whether it is in force.
	evacuated map[string]bool
	// copies holds copies of the store, oldest first, for the soak test.
	copies []store.Copy
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
func startDeployment(t *testing.T, serverCount int, options ...func(*deployment)) *deployment {
	t.Helper()
	d := &deployment{
		t:           t,
		ipPrefix:    fmt.Sprintf("127.%d.%d", 96+os.Getpid()%120, deploymentCount.Add(1)),
		store:       store.New(),
		recorder:    &server.RunRecorder{},
		gracePeriod: gracePeriod,
		evacuated:   make(map[string]bool),
	}
	for _, option := range options {
		option(d)
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
	d.extraRoutes = extraRoutes
	d.writeConfiguration()
}

// writeConfiguration writes the configuration that was published last.
func (d *deployment) writeConfiguration() {
	d.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":%d,
"services":[{"name":"desk","health_path":"/healthz","max_conns":330,"cold_start":"1s","cold_per_s":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"browse","prefix":"/browse/","kind":"safe","timeout":"1500ms","goal":"300ms","priority":2,"service":"desk","attempts":2,"sticky":true},
{"name":"book","prefix":"/book/","kind":"unsafe","timeout":"1500ms","goal":"300ms","priority":1,"service":"desk","attempts":2,"sticky":true}%s]}]}`,
		d.configurationVersion, d.extraRoutes))
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
	d.runEntry(entry)
}

// runEntry starts the program of an entry, whose settings file exists.
func (d *deployment) runEntry(entry *process) {
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
		"bounds.stable_window=3s", "bounds.drain=" + drainTime.String(), "bounds.grace=" + d.gracePeriod.String(),
		"bounds.config_apply=2500ms", "bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=56",
		"bounds.cold_overshoot=1.5", "bounds.cold_slack=5", "bounds.evacuate=5s", "bounds.ttl_max=5s",
		"platform.addr=" + d.ipPrefix + ".200:8169",
	}
	for _, domain := range failureDomains {
		lines = append(lines, "zones."+domain.name+"="+domain.region)
	}
	for _, extra := range d.extraSettings {
		name, _, _ := strings.Cut(extra, "=")
		lines = slices.DeleteFunc(lines, func(line string) bool { return strings.HasPrefix(line, name+"=") })
	}
	return strings.Join(append(lines, d.extraSettings...), "\n") + "\n"
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

// awaitConfiguration waits until all entries have the configuration that was published last in
// force.
func (d *deployment) awaitConfiguration() {
	d.t.Helper()
	client := http.Client{
		Timeout: time.Second,
	}
	line := fmt.Sprintf("configuration_version %d\n", d.configurationVersion)
	d.eventually("all entries have "+line, func() bool {
		return !slices.ContainsFunc(d.entries, func(entry *process) bool {
			resp, err := client.Get("http://" + entry.ip + ":9464/metrics")
			if err != nil {
				return true
			}
			content, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			return err != nil || !strings.Contains(string(content), line)
		})
	})
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
