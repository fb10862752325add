package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
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
	entries = 3
	// serversEach is how many backend servers have their home at each entry.
	serversEach = 2
	service     = "offers"
	deadline    = 2 * time.Second
)

var errStoreDown = errors.New("the store is down")

// fleet is entries, backend servers and a table in one bubble.
type fleet struct {
	t             testing.TB
	net           *network
	configuration *intent.Configuration
	store         memory.Store
	servers       map[string]*server
	group         sync.WaitGroup
	// faults holds the tasks that make faults and end them.
	faults sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*node
	// storeDelay, storeDown and loseAnswer are the table's faults.
	storeDelay time.Duration
	storeDown  bool
	loseAnswer func() bool
	// beforeCommit is called before a transaction takes effect.
	beforeCommit func()
	born         uint64
}

// node is one incarnation of an entry.
type node struct {
	name       string
	dispatcher *dispatch.Dispatcher
	register   *key.Register
	suspects   *quarantine.List
	stop       func()
}

// server is a backend server that counts its runs.
type server struct {
	fleet *fleet
	name  string
	fault func(*http.Request) string

	mu      sync.Mutex
	runs    map[string]int
	serial  int
	running int
	most    int
}

func compile(t testing.TB) *intent.Configuration {
	t.Helper()
	var deployment, backends strings.Builder
	fmt.Fprint(&deployment, "name = \"test\"\n[objective]\nlatency = 1\nheadroom = 1\ndrain-time = 1\n[lookup]\nlifetime = \"2s\"\n[[region]]\nname = \"north\"\n")
	fmt.Fprintf(&backends, "name = %q\nclass = \"interactive\"\ndeadline = %q\nramp = \"1ms\"\n[[region]]\nname = \"north\"\nmax-rate = 1000\nshift-rate = 1000\n", service, deadline)
	for i := range entries {
		fmt.Fprintf(&deployment, "[[failure-domain]]\nname = \"north-%d\"\nregion = \"north\"\n[[entry]]\nname = \"entry-%d\"\nfailure-domain = \"north-%d\"\n", i, i, i)
		for j := range serversEach {
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

// withFleet runs a test in a bubble with all entries and servers up.
func withFleet(t *testing.T, test func(*fleet)) {
	t.Helper()
	configuration := compile(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, configuration)
		defer f.close()
		test(f)
	})
}

func newFleet(t testing.TB, configuration *intent.Configuration) *fleet {
	f := &fleet{
		t:             t,
		net:           newNetwork(),
		configuration: configuration,
		servers:       make(map[string]*server),
		nodes:         make(map[string]*node),
		loseAnswer:    func() bool { return false },
		beforeCommit:  func() {},
	}
	for _, backend := range configuration.Service(service).BackendServers {
		s := &server{
			fleet: f,
			name:  backend.Name,
			runs:  make(map[string]int),
			fault: func(r *http.Request) string { return r.URL.Query().Get("fault") },
		}
		f.servers[backend.Name] = s
		f.serve(backend.Name, backend.Address, s)
	}
	for i := range entries {
		f.start(fmt.Sprintf("entry-%d", i))
	}
	return f
}

func (f *fleet) serve(process, address string, handler http.Handler) func() {
	listener := f.net.listen(process, address)
	web := &http.Server{
		Handler: handler,
	}
	f.group.Go(func() { _ = web.Serve(listener) })
	return func() { _ = web.Close() }
}

// start begins a new incarnation of an entry.
func (f *fleet) start(name string) *node {
	f.mu.Lock()
	f.born++
	incarnation := f.born
	f.mu.Unlock()
	n := &node{
		name:     name,
		suspects: &quarantine.List{},
	}
	process := fmt.Sprintf("%s/%d", name, incarnation)
	n.register = key.New(name, incarnation, f.table(process),
		key.WithMaxDeadline(deadline),
		key.WithQueryFunc(f.ask(process)),
	)
	slots := &slot.Ledger{
		Entry: name,
	}
	slots.Configure(f.configuration)
	backends := f.transport(process)
	peers := f.transport(process)
	n.dispatcher = &dispatch.Dispatcher{
		Entry:            name,
		Region:           "north",
		Configuration:    func() *intent.Configuration { return f.configuration },
		RankHomes:        f.places(name),
		PeerAddress:      func(entry string) string { return entry + ".peer:80" },
		Slots:            slots,
		Links:            &link.Shaper{},
		Keys:             n.register,
		Quarantine:       n.suspects,
		Metrics:          metrics.NewRegistry(),
		BackendTransport: backends,
		PeerTransport:    peers,
	}
	closeCallers := f.serve(process, name+":80", http.HandlerFunc(n.dispatcher.ServeCaller))
	closePeers := f.serve(process, name+".peer:80", http.HandlerFunc(n.dispatcher.ServePeer))
	ctx, cancel := context.WithCancel(context.Background())
	f.group.Go(func() { n.register.Run(ctx) })
	n.stop = func() {
		f.net.mu.Lock()
		for _, far := range f.processes() {
			f.net.cuts[[2]string{process, far}] = true
			f.net.cuts[[2]string{far, process}] = true
		}
		f.net.mu.Unlock()
		f.net.resume(process)
		f.net.crash(process)
		f.net.resume(direction(process, "caller"))
		closeCallers()
		closePeers()
		cancel()
		backends.CloseIdleConnections()
		peers.CloseIdleConnections()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = n
	return n
}

// processes lists all names that a process can talk to.
func (f *fleet) processes() []string {
	names := []string{"caller", "store"}
	for name := range f.servers {
		names = append(names, name)
	}
	for i := range entries {
		for incarnation := range uint64(entries + 8) {
			names = append(names, fmt.Sprintf("entry-%d/%d", i, incarnation))
		}
	}
	return names
}

// process returns the process name of an entry's running incarnation.
func (f *fleet) process(name string) string {
	return fmt.Sprintf("%s/%d", name, f.node(name).register.Incarnation())
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// replace kills an entry and starts its next incarnation.
func (f *fleet) replace(name string) {
	f.node(name).stop()
	f.start(name)
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, listener := range f.net.listeners {
		_ = listener.Close()
	}
	f.net.breakAll(func(string, string) bool { return true })
	f.group.Wait()
	// Handlers of closed connections end at their own time.
	time.Sleep(10 * deadline)
}

func (f *fleet) transport(process string) *http.Transport {
	return &http.Transport{
		DialContext:           f.net.dialer(process),
		ExpectContinueTimeout: time.Hour,
		DisableCompression:    true,
	}
}

// places ranks an entry's own backend servers first.
func (f *fleet) places(own string) func(*intent.Service, string) []steering.RankedCandidate {
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
	add(own)
	for i := range entries {
		if name := fmt.Sprintf("entry-%d", i); name != own {
			add(name)
		}
	}
	return func(*intent.Service, string) []steering.RankedCandidate { return ranked }
}

// table is the store as one process reaches it.
func (f *fleet) table(process string) platform.Table {
	reach := func() error {
		f.net.waitWhilePaused(process)
		time.Sleep(f.storeDelay)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.storeDown || f.net.isCut(process, "store") {
			return errStoreDown
		}
		return nil
	}
	return platform.Table{
		Read: func(ctx context.Context, row string) (platform.Row, error) {
			if err := reach(); err != nil {
				return platform.Row{}, err
			}
			defer f.net.waitWhilePaused(process)
			return f.store.Read(ctx, row)
		},
		Commit: func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
			if err := reach(); err != nil {
				return nil, err
			}
			f.beforeCommit()
			if f.net.isCut(process, "store") {
				return nil, errStoreDown
			}
			revisions, err := f.store.Commit(ctx, writes)
			if f.loseAnswer() {
				err = errStoreDown
			}
			f.net.waitWhilePaused(process)
			return revisions, err
		},
		Scan: f.store.Scan,
	}
}

func (f *fleet) ask(process string) key.QueryFunc {
	return func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error) {
		f.net.waitWhilePaused(process)
		if f.net.isCut(process, f.process(entry)) {
			return nil, errors.New("cut")
		}
		response := f.node(entry).register.HandleKeyRequest(ctx, request)
		f.net.waitWhilePaused(f.process(entry))
		return response, ctx.Err()
	}
}

// gossip lets all entries exchange their suspects once.
func (f *fleet) gossip() {
	for _, from := range f.nodes {
		for _, to := range f.nodes {
			to.suspects.Merge(from.suspects.Suspects())
		}
	}
}

// totalRuns returns how often a key ran.
func (f *fleet) totalRuns(name string) int {
	total := 0
	for _, s := range f.servers {
		s.mu.Lock()
		total += s.runs[name]
		s.mu.Unlock()
	}
	return total
}

// wait lets the bubble's clock advance.
func (f *fleet) wait(duration time.Duration) {
	time.Sleep(duration)
}

// allRuns returns how many requests ran.
func (f *fleet) allRuns() int {
	total := 0
	for _, s := range f.servers {
		s.mu.Lock()
		for _, runs := range s.runs {
			total += runs
		}
		s.mu.Unlock()
	}
	return total
}

// begin counts a run and names its answer.
func (s *server) begin(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.Header.Get(header.IdempotencyKey)
	s.runs[name]++
	s.serial++
	s.running++
	s.most = max(s.most, s.running)
	return fmt.Sprintf("%s %s run %d of %s", name, r.URL.Query().Get("echo"), s.serial, s.name)
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ServeHTTP runs a request with the fault that the test wants.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.fault(r)
	if fault == "shed" {
		w.Header().Set(header.Shed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := s.begin(r)
	defer s.end()
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(5 * time.Millisecond)
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	switch fault {
	case "crash":
		s.fleet.net.crash(s.name)
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
	case "unframed":
		connection, buffered, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n\r\n" + answer)
			_ = buffered.Flush()
			_ = connection.Close()
		}
		return
	}
	_, _ = io.WriteString(w, answer)
}

// reply is what a caller saw.
type reply struct {
	outcome string
	reason  string
	status  int
	body    string
	// whole is false when the answer was visibly cut.
	whole bool
}

// sending is one request of a caller.
type sending struct {
	entry  string
	key    string
	method string
	query  string
	body   io.Reader
	first  bool
	within time.Duration
}

// send sends a request to an entry; a lost connection leaves all unknown.
func (f *fleet) send(to sending) reply {
	if to.method == "" {
		to.method = http.MethodPost
	}
	transport := f.transport("caller")
	transport.DisableKeepAlives = true
	ctx := context.Background()
	if to.within > 0 {
		bounded, cancel := context.WithTimeout(ctx, to.within)
		defer cancel()
		ctx = bounded
	}
	request, err := http.NewRequestWithContext(ctx, to.method, "http://"+to.entry+":80/offer?"+to.query, to.body)
	assert.NilError(f.t, err)
	request.Header.Set(header.Service, service)
	if to.key != "" {
		request.Header.Set(header.IdempotencyKey, to.key)
	}
	if to.first {
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
		outcome: response.Header.Get(header.Outcome),
		reason:  response.Header.Get(header.Reason),
		status:  response.StatusCode,
		body:    string(content),
		whole:   err == nil,
	}
}
