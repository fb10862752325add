package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/dispatch"
	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/entry/link"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

const (
	entryCount = 3
	// serversPerEntry is the number of backend servers whose home is the same entry.
	serversPerEntry = 2
	// service is the name of the only service, and deadline its deadline for requests.
	service  = "offers"
	deadline = 2 * time.Second
)

var errStoreDown = errors.New("the store is down")

// cluster is a set of entries, backend servers and a store that run in one synctest
// bubble and are connected by a simulated network.
type cluster struct {
	t             testing.TB
	network       *network
	configuration *intent.Configuration
	store         memory.Store
	// servers holds the backend servers by name.
	servers map[string]*backendServer
	// goroutines holds the goroutines that close waits for.
	goroutines sync.WaitGroup
	// faultTasks holds the goroutines that start and end faults.
	faultTasks sync.WaitGroup

	mu sync.Mutex
	// entries holds the running incarnation of each entry by name.
	entries map[string]*entryProcess
	// storeDelay is added to each access to the store.
	storeDelay time.Duration
	// storeDown makes the store unreachable.
	storeDown bool
	// loseCommitAnswer reports whether a transaction that took effect returns an
	// error.
	loseCommitAnswer func() bool
	// beforeCommit is called before a transaction takes effect.
	beforeCommit func()
	// lastIncarnation is the incarnation of the entry that was started last.
	lastIncarnation uint64
	// onDead holds the functions that countDead calls.
	onDead map[*func()]string
}

// entryProcess is one incarnation of an entry.
type entryProcess struct {
	name           string
	dispatcher     *dispatch.Dispatcher
	register       *key.Register
	quarantineList *quarantine.List
	// stop kills the incarnation. It first cuts the process off from all others.
	stop func()
}

// backendServer is a backend server that counts the requests it runs and can
// misbehave, see ServeHTTP.
type backendServer struct {
	cluster *cluster
	name    string
	// fault returns the name of the fault with which a request is served, "" for none.
	fault func(*http.Request) string

	mu sync.Mutex
	// runsByKey counts the runs by idempotency key, "" for requests without one.
	runsByKey map[string]int
	totalRuns int
	// targets holds the targets of the requests that the server ran.
	targets []string
	// running is the number of requests that run now, maxRunning its maximum.
	running    int
	maxRunning int
}

// compileConfiguration returns a configuration with entryCount entries. Each is in a
// failure domain of its own and is the home of serversPerEntry backend servers.
func compileConfiguration(t testing.TB) *intent.Configuration {
	t.Helper()
	var deployment, backends strings.Builder
	fmt.Fprint(&deployment, "name = \"test\"\n[objective]\nlatency = 1\nheadroom = 1\ndrain-time = 1\n[lookup]\nlifetime = \"2s\"\n[[region]]\nname = \"north\"\n")
	fmt.Fprintf(&backends, "name = %q\nclass = \"interactive\"\ndeadline = %q\nramp = \"1ms\"\n[[region]]\nname = \"north\"\nmax-rate = 1000\nshift-rate = 1000\n", service, deadline)
	for i := range entryCount {
		fmt.Fprintf(&deployment, "[[failure-domain]]\nname = \"north-%d\"\nregion = \"north\"\n[[entry]]\nname = \"entry-%d\"\nfailure-domain = \"north-%d\"\n", i, i, i)
		for j := range serversPerEntry {
			fmt.Fprintf(&backends, "[[backend-server]]\nname = \"server-%d-%d\"\naddress = \"10.0.%d.%d:80\"\nfailure-domain = \"north-%d\"\nslots = 3\n", i, j, i, j+1, i)
		}
	}
	configuration, err := intent.Compile(1, []intent.Document{
		{
			Name:    "deployment.toml",
			Content: []byte(deployment.String()),
		},
		{
			Name:    "services/" + service + ".toml",
			Content: []byte(backends.String()),
		},
	})
	assert.NilError(t, err)
	return configuration
}

// withCluster runs a test in a synctest bubble with all entries and backend servers
// running.
func withCluster(t *testing.T, test func(*cluster)) {
	t.Helper()
	configuration := compileConfiguration(t)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, configuration)
		defer c.close()
		test(c)
	})
}

// newCluster returns a cluster with all entries and backend servers running.
func newCluster(t testing.TB, configuration *intent.Configuration) *cluster {
	c := &cluster{
		t:                t,
		network:          newNetwork(),
		configuration:    configuration,
		servers:          make(map[string]*backendServer),
		entries:          make(map[string]*entryProcess),
		onDead:           make(map[*func()]string),
		loseCommitAnswer: func() bool { return false },
		beforeCommit:     func() {},
	}
	for _, backend := range configuration.Service(service).BackendServers {
		s := &backendServer{
			cluster:   c,
			name:      backend.Name,
			runsByKey: make(map[string]int),
			fault:     func(r *http.Request) string { return r.URL.Query().Get("fault") },
		}
		c.servers[backend.Name] = s
		c.serve(backend.Name, backend.Address, s)
	}
	for i := range entryCount {
		c.start(fmt.Sprintf("entry-%d", i))
	}
	return c
}

// serve runs an HTTP server of a process at an address and returns the function that
// closes it.
func (c *cluster) serve(process, address string, handler http.Handler) func() {
	listener := c.network.listen(process, address)
	httpServer := &http.Server{
		Handler: handler,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connRequestsKey{}, &atomic.Int32{})
		},
	}
	c.goroutines.Go(func() { _ = httpServer.Serve(listener) })
	return func() { _ = httpServer.Close() }
}

// connRequestsKey is the key of a context value, an *atomic.Int32 with the number of requests
// that arrived on a connection.
type connRequestsKey struct{}

// start starts a new incarnation of an entry.
func (c *cluster) start(name string) *entryProcess {
	c.mu.Lock()
	c.lastIncarnation++
	incarnation := c.lastIncarnation
	c.mu.Unlock()
	entry := &entryProcess{
		name:           name,
		quarantineList: &quarantine.List{},
	}
	process := fmt.Sprintf("%s/%d", name, incarnation)
	entry.register = key.New(name, incarnation, c.table(process),
		key.WithMaxDeadline(deadline),
		key.WithQueryFunc(c.askClaimant(process)),
	)
	slots := &slot.Ledger{
		Entry: name,
	}
	slots.Configure(c.configuration)
	backends := c.transport(process)
	peers := c.transport(process)
	entry.dispatcher = &dispatch.Dispatcher{
		Entry:            name,
		Region:           "north",
		Configuration:    func() *intent.Configuration { return c.configuration },
		RankHomes:        c.rankHomes(name),
		PeerAddress:      func(entry string) string { return entry + ".peer:80" },
		WatchDead:        c.watchDead,
		Slots:            slots,
		Links:            &link.Shaper{},
		Keys:             entry.register,
		Quarantine:       entry.quarantineList,
		Metrics:          metrics.NewRegistry(),
		BackendTransport: backends,
		PeerTransport:    peers,
	}
	closeCallers := c.serve(process, name+":80", http.HandlerFunc(entry.dispatcher.ServeCaller))
	closePeers := c.serve(process, name+".peer:80", http.HandlerFunc(entry.dispatcher.ServePeer))
	ctx, cancel := context.WithCancel(context.Background())
	c.goroutines.Go(func() { entry.register.Run(ctx) })
	entry.stop = func() {
		c.network.mu.Lock()
		for _, other := range c.allProcesses() {
			c.network.partitions[[2]string{process, other}] = true
			c.network.partitions[[2]string{other, process}] = true
		}
		c.network.mu.Unlock()
		c.network.resume(process)
		c.network.closePipes(process)
		c.network.resume(directionName(process, "caller"))
		closeCallers()
		closePeers()
		cancel()
		backends.CloseIdleConnections()
		peers.CloseIdleConnections()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[name] = entry
	return entry
}

// allProcesses returns the names of all processes that can exist during a test. It
// assumes that a test starts fewer than 8 incarnations besides the first of each entry.
func (c *cluster) allProcesses() []string {
	names := []string{"caller", "store"}
	for name := range c.servers {
		names = append(names, name)
	}
	for i := range entryCount {
		for incarnation := range uint64(entryCount + 8) {
			names = append(names, fmt.Sprintf("entry-%d/%d", i, incarnation))
		}
	}
	return names
}

// processOf returns the process name of an entry's running incarnation.
func (c *cluster) processOf(name string) string {
	return fmt.Sprintf("%s/%d", name, c.entry(name).register.Incarnation())
}

// entry returns the running incarnation of an entry.
func (c *cluster) entry(name string) *entryProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[name]
}

// replace kills an entry and starts a new incarnation of it.
func (c *cluster) replace(name string) {
	c.entry(name).stop()
	c.start(name)
}

// close stops all processes and waits until their goroutines have ended. A synctest
// bubble requires that none is left.
func (c *cluster) close() {
	for _, entry := range c.entries {
		entry.stop()
	}
	for _, listener := range c.network.listeners {
		_ = listener.Close()
	}
	c.network.closeMatching(func(string, string) bool { return true })
	c.goroutines.Wait()
	// Handlers of closed connections still run for a while.
	time.Sleep(10 * deadline)
}

// transport returns an HTTP transport over the simulated network of a process.
func (c *cluster) transport(process string) *http.Transport {
	return &http.Transport{
		DialContext:           c.network.dialer(process),
		ExpectContinueTimeout: time.Hour,
		DisableCompression:    true,
	}
}

// rankHomes returns a ranking of the homes in which an entry prefers itself.
func (c *cluster) rankHomes(self string) func(*intent.Service, string) []steering.RankedCandidate {
	var ranked []steering.RankedCandidate
	add := func(home string) {
		ranked = append(ranked, steering.RankedCandidate{
			Allowed: true,
			Candidate: steering.Candidate{
				Home:   home,
				Region: "north",
			},
		})
	}
	add(self)
	for i := range entryCount {
		if name := fmt.Sprintf("entry-%d", i); name != self {
			add(name)
		}
	}
	return func(*intent.Service, string) []steering.RankedCandidate { return ranked }
}

// table returns the store as a process sees it, with the faults of the store and of
// the network between them.
func (c *cluster) table(process string) platform.Table {
	reachStore := func() error {
		c.network.waitForResume(process)
		time.Sleep(c.storeDelay)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.storeDown || c.network.isPartitioned(process, "store") {
			return errStoreDown
		}
		return nil
	}
	return platform.Table{
		Read: func(ctx context.Context, row string) (platform.Row, error) {
			if err := reachStore(); err != nil {
				return platform.Row{}, err
			}
			defer c.network.waitForResume(process)
			return c.store.Read(ctx, row)
		},
		Commit: func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
			if err := reachStore(); err != nil {
				return nil, err
			}
			c.beforeCommit()
			if c.network.isPartitioned(process, "store") {
				return nil, errStoreDown
			}
			revisions, err := c.store.Commit(ctx, writes)
			if c.loseCommitAnswer() {
				err = errStoreDown
			}
			c.network.waitForResume(process)
			return revisions, err
		},
		Scan: c.store.Scan,
	}
}

// askClaimant returns the function with which a process asks the entry that claimed
// a key about the key.
func (c *cluster) askClaimant(process string) key.QueryFunc {
	return func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error) {
		c.network.waitForResume(process)
		if c.network.isPartitioned(process, c.processOf(entry)) {
			return nil, errors.Errorf("ask %s: no connection", entry)
		}
		response := c.entry(entry).register.HandleKeyRequest(ctx, request)
		c.network.waitForResume(c.processOf(entry))
		return response, ctx.Err()
	}
}

// exchangeSuspects makes each entry send its suspects to all entries once.
func (c *cluster) exchangeSuspects() {
	for _, from := range c.entries {
		for _, to := range c.entries {
			to.quarantineList.Merge(from.quarantineList.Suspects())
		}
	}
}

// watchDead makes countDead call onDead, for all entries alike.
func (c *cluster) watchDead(entry string, onDead func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDead[&onDead] = entry
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.onDead, &onDead)
	}
}

// countDead makes the entries count an entry as dead.
func (c *cluster) countDead(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for onDead, watched := range c.onDead {
		if watched == entry {
			(*onDead)()
			delete(c.onDead, onDead)
		}
	}
}

// runsOfKey returns how many times backend servers ran requests with a key.
func (c *cluster) runsOfKey(requestKey string) int {
	total := 0
	for _, s := range c.servers {
		s.mu.Lock()
		total += s.runsByKey[requestKey]
		s.mu.Unlock()
	}
	return total
}

// wait advances the clock of the synctest bubble.
func (c *cluster) wait(duration time.Duration) {
	time.Sleep(duration)
}

// runsOfAllKeys returns how many times backend servers ran requests, with or without a
// key.
func (c *cluster) runsOfAllKeys() int {
	total := 0
	for _, s := range c.servers {
		s.mu.Lock()
		for _, runs := range s.runsByKey {
			total += runs
		}
		s.mu.Unlock()
	}
	return total
}

// startRun counts a run of a request and returns a response body that no other run
// returns.
func (s *backendServer) startRun(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	requestKey := r.Header.Get(header.IdempotencyKey)
	s.runsByKey[requestKey]++
	s.totalRuns++
	s.running++
	s.targets = append(s.targets, r.RequestURI)
	s.maxRunning = max(s.maxRunning, s.running)
	return fmt.Sprintf("%s %s run %d of %s", requestKey, r.URL.Query().Get("echo"), s.totalRuns, s.name)
}

// endRun marks a run as ended.
func (s *backendServer) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ServeHTTP runs a request with the selected fault:
//
//   - "shed" refuses the request without running it
//   - "crash" closes all connections of the server instead of responding
//   - "reset" closes the request's connection instead of responding
//   - "late" responds after the deadline
//   - "slow" responds before the deadline, after a quarter of the time
//   - "crossed" responds with the ID of another request
//   - "short" responds with a truncated body
//   - "unframed" responds without a length or chunks
//   - "states-outcome" responds with the headers by which an entry says that a request has not run
//   - "repeated-refusal" sends an earlier refusal, without an ID, before it responds, if the
//     connection has carried a request before
func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.fault(r)
	if requests, _ := r.Context().Value(connRequestsKey{}).(*atomic.Int32); requests.Add(1) == 1 && fault == "repeated-refusal" {
		fault = ""
	}
	if fault == "shed" {
		w.Header().Set(header.Shed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	responseBody := s.startRun(r)
	defer s.endRun()
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(5 * time.Millisecond)
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	switch fault {
	case "crash":
		s.cluster.network.closePipes(s.name)
		panic(http.ErrAbortHandler)
	case "reset":
		panic(http.ErrAbortHandler)
	case "late":
		time.Sleep(2 * deadline)
	case "slow":
		time.Sleep(deadline / 4)
	case "crossed":
		w.Header().Set(header.RequestID, "another")
	case "short":
		w.Header().Set("Content-Length", "1000")
	case "states-outcome":
		w.Header().Set(header.Outcome, "not-run")
		w.Header().Set(header.Reason, "shed")
	case "repeated-refusal":
		connection, buffered, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = fmt.Fprintf(buffered, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", header.Shed)
			_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", header.RequestID, r.Header.Get(header.RequestID), len(responseBody), responseBody)
			_ = buffered.Flush()
			_ = connection.Close()
		}
		return
	case "unframed":
		connection, buffered, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n\r\n" + responseBody)
			_ = buffered.Flush()
			_ = connection.Close()
		}
		return
	}
	_, _ = io.WriteString(w, responseBody)
}

// reply is the result of a request as its caller sees it.
type reply struct {
	outcome string
	reason  string
	status  int
	body    string
	// complete is false if the caller detected that the body was truncated.
	complete bool
}

// callerRequest is a request that a caller sends to an entry.
type callerRequest struct {
	entry string
	// key is the idempotency key or ticket, "" for none.
	key string
	// method is POST if it is "".
	method string
	query  string
	// target is sent as it is instead of the path, unless it is "".
	target string
	body   io.Reader
	// firstSend states that the key is sent for the first time.
	firstSend bool
	// callerTimeout is the time after which the caller disconnects; 0 means never.
	callerTimeout time.Duration
}

// send sends a request from the caller and returns the reply. If the connection
// breaks before the response, the outcome is unknown.
func (c *cluster) send(sent callerRequest) reply {
	if sent.method == "" {
		sent.method = http.MethodPost
	}
	transport := c.transport("caller")
	transport.DisableKeepAlives = true
	ctx := context.Background()
	if sent.callerTimeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, sent.callerTimeout)
		defer cancel()
		ctx = bounded
	}
	request, err := http.NewRequestWithContext(ctx, sent.method, "http://"+sent.entry+":80/offer?"+sent.query, sent.body)
	assert.NilError(c.t, err)
	if sent.target != "" {
		request.URL.Opaque, request.URL.ForceQuery = sent.target, false
	}
	request.Header.Set(header.Service, service)
	if sent.key != "" {
		request.Header.Set(header.IdempotencyKey, sent.key)
	}
	if sent.firstSend {
		request.Header.Set(header.FirstSend, "true")
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{
			outcome: "unknown",
			reason:  "caller: " + err.Error(),
		}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{
		outcome:  response.Header.Get(header.Outcome),
		reason:   response.Header.Get(header.Reason),
		status:   response.StatusCode,
		body:     string(content),
		complete: err == nil,
	}
}
