// Package gate_test runs the entry program as processes before stand-ins of the
// platform's store, backend servers and callers.
package gate_test

import (
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

// program is the built entry.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		directory, err := os.MkdirTemp("", "gate")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(directory) }()
		program = filepath.Join(directory, "entry")
		build := exec.Command("go", "build", "-o", program, "./entry")
		build.Dir = "../.."
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build the entry: %v\n%s", err, output)
			return 1
		}
		return m.Run()
	}())
}

// Bounds of the deployment, as its settings say.
const (
	drainBound = 2500 * time.Millisecond
	grace      = 3 * time.Second
)

// domains holds the region of each failure domain; each has one entry.
var domains = []struct{ domain, region string }{
	{"north-a", "north"},
	{"north-b", "north"},
	{"south-a", "south"},
}

// fleet is a running deployment.
type fleet struct {
	t       *testing.T
	prefix  string
	store   *store.Server
	ledger  *server.RunRecorder
	servers []*server.Server
	proxies []*server.Proxy
	entries []*process
	group   sync.WaitGroup
	version int
	// drained is when a server last said that it leaves.
	drained time.Time

	asked  atomic.Int64
	served atomic.Int64
	mu     sync.Mutex
	// refused holds the requests that were told not run, faults what must not be.
	refused []string
	faults  []string
}

// process is an entry.
type process struct {
	name     string
	ip       string
	settings string
	command  *exec.Cmd
	output   bytes.Buffer
}

// fleets counts the deployments of this process.
var fleets atomic.Uint32

// startFleet starts store, servers behind proxies and entries.
func startFleet(t *testing.T, servers int) *fleet {
	t.Helper()
	f := &fleet{
		t:      t,
		prefix: fmt.Sprintf("127.%d.%d", 96+os.Getpid()%120, fleets.Add(1)),
		store:  store.New(),
		ledger: &server.RunRecorder{},
	}
	f.serve(f.prefix+".200:8169", f.store)
	f.configure("")
	for i := range servers {
		f.addServer(i)
	}
	for i := range domains {
		f.startEntry(i)
	}
	t.Cleanup(f.stop)
	f.eventually("all entries are ready", func() bool {
		for _, each := range f.entries {
			if !f.ready(each) {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp4", address)
	assert.NilError(f.t, err)
	served := &http.Server{
		Handler: handler,
	}
	f.group.Go(func() { _ = served.Serve(listener) })
	f.t.Cleanup(func() { served.Close() })
}

// configure publishes the next version; extra routes go behind the first two.
func (f *fleet) configure(extra string) {
	f.version += 3
	f.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":%d,
"services":[{"name":"desk","health_path":"/healthz","max_conns":330,"cold_start":"1s","cold_per_s":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"browse","prefix":"/browse/","kind":"safe","timeout":"1500ms","goal":"300ms","priority":2,"service":"desk","attempts":2,"sticky":true},
{"name":"book","prefix":"/book/","kind":"unsafe","timeout":"1500ms","goal":"300ms","priority":1,"service":"desk","attempts":2,"sticky":true}%s]}]}`,
		f.version, extra))
}

// addServer starts a server behind a proxy.
func (f *fleet) addServer(index int) {
	place := domains[index%len(domains)]
	own := fmt.Sprintf("%s.%d:8080", f.prefix, 20+index)
	front := fmt.Sprintf("%s.%d:8081", f.prefix, 20+index)
	proxy := &server.Proxy{
		Target: own,
	}
	listener, err := net.Listen("tcp4", front)
	assert.NilError(f.t, err)
	f.group.Go(func() { proxy.Serve(listener) })
	f.t.Cleanup(func() { listener.Close() })
	each := &server.Server{
		ID:            fmt.Sprintf("i-%d", index),
		Service:       "desk",
		FailureDomain: place.domain,
		Slots:         3,
		WorkTime:      30 * time.Millisecond,
		Address:       front,
		DrainTime:     drainBound,
		Recorder:      f.ledger,
		Store:         f.store,
	}
	f.servers = append(f.servers, each)
	f.proxies = append(f.proxies, proxy)
	f.bring(each, own)
	f.t.Cleanup(each.Crash)
}

// bring starts a server that is not running.
func (f *fleet) bring(each *server.Server, address string) {
	listener, err := net.Listen("tcp4", address)
	assert.NilError(f.t, err)
	each.Start(listener)
}

// startEntry starts the entry of a failure domain, once more perhaps.
func (f *fleet) startEntry(index int) {
	if index == len(f.entries) {
		f.entries = append(f.entries, &process{
			name:     fmt.Sprintf("front-%d", index),
			ip:       fmt.Sprintf("%s.%d", f.prefix, 10+index),
			settings: filepath.Join(f.t.TempDir(), "settings"),
		})
	}
	each := f.entries[index]
	assert.NilError(f.t, os.WriteFile(each.settings, []byte(f.settings(index)), 0o600))
	each.command = exec.Command(program, "--platform")
	each.command.Env = append(os.Environ(), "TEASELSTACK_NODE_FILE="+each.settings)
	each.command.Stdout = &each.output
	each.command.Stderr = &each.output
	assert.NilError(f.t, each.command.Start())
}

func (f *fleet) settings(index int) string {
	each := f.entries[index]
	lines := []string{
		"node=" + each.name, "ip=" + each.ip, "zone=" + domains[index].domain, "region=" + domains[index].region,
		"listen.front=" + each.ip + ":8161", "listen.ready=" + each.ip + ":8167", "listen.directory=" + each.ip + ":8164",
		"listen.control=" + each.ip + ":8166", "port_range=7720,7735",
		"seeds=" + f.prefix + ".10:8166," + f.prefix + ".11:8166",
		"heartbeat=1500ms", "limits.memory_mb=284", "limits.max_fds=4100",
		"bounds.stable_window=3s", "bounds.drain=" + drainBound.String(), "bounds.grace=" + grace.String(),
		"bounds.config_apply=2500ms", "bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=56",
		"bounds.cold_overshoot=1.5", "bounds.cold_slack=5", "bounds.evacuate=5s", "bounds.ttl_max=5s",
		"platform.addr=" + f.prefix + ".200:8169",
	}
	for _, place := range domains {
		lines = append(lines, "zones."+place.domain+"="+place.region)
	}
	return strings.Join(lines, "\n") + "\n"
}

// signal sends a signal to an entry that this test started.
func (f *fleet) signal(index int, signal syscall.Signal) {
	// One that has ended already gets none.
	_ = f.entries[index].command.Process.Signal(signal)
}

// wait waits until an entry has ended.
func (f *fleet) wait(index int) error { return f.entries[index].command.Wait() }

func (f *fleet) stop() {
	for i := range f.entries {
		f.signal(i, syscall.SIGCONT)
		f.signal(i, syscall.SIGKILL)
		_ = f.wait(i)
		if f.t.Failed() {
			log := f.entries[i].output.Bytes()
			f.t.Logf("%s: %s", f.entries[i].name, log[max(0, len(log)-3000):])
		}
	}
}

func (f *fleet) ready(each *process) bool {
	client := http.Client{
		Timeout: time.Second,
	}
	resp, err := client.Get("http://" + each.ip + ":8167/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) eventually(event string, happened func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if happened() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", event)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// call is a caller: it looks up, asks and checks answers until ctx is done.
func (f *fleet) call(ctx context.Context, seed uint64) {
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
		address := f.lookUp(client, random)
		if address != "" {
			f.ask(client, address, fmt.Sprintf("c%d-%d", seed, number), random)
		}
		pause(ctx, time.Duration(random.IntN(int(40*time.Millisecond))))
	}
}

// pause waits for a time or until ctx is done.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *fleet) lookUp(client *http.Client, random *rand.Rand) string {
	for _, index := range random.Perm(len(domains)) {
		resp, err := client.Get("http://" + f.prefix + fmt.Sprintf(".%d", 10+index) + ":8164/v1/resolve?name=desk.example&region=" + domains[index].region + "&zone=" + domains[index].domain)
		if err != nil {
			continue
		}
		var found platform.Resolution
		err = json.NewDecoder(resp.Body).Decode(&found)
		resp.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			return found.Addresses[random.IntN(len(found.Addresses))]
		}
	}
	return ""
}

// ask sends one request and checks what came back.
func (f *fleet) ask(client *http.Client, address, id string, random *rand.Rand) {
	method, path := http.MethodGet, "/browse/"
	if random.IntN(2) == 0 {
		method, path = http.MethodPost, "/book/"
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("offer"))
	if err != nil {
		f.fault("request %s: %v", id, err)
		return
	}
	request.Host = "desk.example"
	request.Header.Set(platform.HeaderNames.RequestID, id)
	request.Header.Set(platform.HeaderNames.DeadlineMS, "4000")
	request.AddCookie(&http.Cookie{
		Name:  platform.HeaderNames.ObjectCookie,
		Value: fmt.Sprint(random.IntN(30)),
	})
	f.asked.Add(1)
	resp, err := client.Do(request)
	if err != nil {
		return
	}
	content, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK && err == nil && (string(content) != server.ResponseBody(id) || resp.Header.Get(platform.HeaderNames.ResponseStamp) == ""):
		f.fault("request %s got %q", id, content)
	case resp.StatusCode == http.StatusOK && err == nil:
		f.served.Add(1)
	case resp.StatusCode == http.StatusNotFound:
		f.fault("request %s was denied", id)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		f.mu.Lock()
		f.refused = append(f.refused, id)
		f.mu.Unlock()
	}
	if method == http.MethodPost && f.ledger.Runs(id) > 1 {
		f.fault("request %s ran %d times", id, f.ledger.Runs(id))
	}
}

func (f *fleet) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// underLoad runs a scenario while callers ask, and checks the promises.
func (f *fleet) underLoad(callers int, scenario func()) {
	f.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { f.call(ctx, uint64(i)) })
	}
	scenario()
	stop()
	group.Wait()
	for _, id := range f.refused {
		if f.ledger.Runs(id) > 0 {
			f.fault("request %s was told not run and ran", id)
		}
	}
	f.faults = append(f.faults, f.ledger.LateStarts()...)
	assert.Equal(f.t, len(f.faults), 0, "%s", strings.Join(f.faults, "\n"))
	f.t.Logf("asked %d, served %d, refused %d", f.asked.Load(), f.served.Load(), len(f.refused))
}

// serves waits until nearly all of some requests in a row are served.
func (f *fleet) serves() {
	f.t.Helper()
	asked, served := f.asked.Load(), f.served.Load()
	f.eventually("requests are served", func() bool {
		more := f.asked.Load() - asked
		if more < enough {
			return false
		}
		good := float64(f.served.Load()-served) >= 0.9*float64(more)
		asked, served = f.asked.Load(), f.served.Load()
		return good
	})
}

// enough is how many requests say whether a fleet serves.
const enough = 60
