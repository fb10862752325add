// Package health judges backend servers, first by what becomes of requests and
// only then by probes, which cost a backend server time and may lie.
//
// A probe can clear a backend server but never condemn it. When many seem to
// fail at once, the fault is more likely on the way than in all of them: then
// none is taken out, and each still gets no more than its slots. This is the
// panic threshold of load balancers.
package health

import (
	"context"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/timeline"
)

// Signal is what one request or probe tells of a backend server.
type Signal uint8

// Signs of a backend server.
const (
	// SignalAnswered is an answer of any kind.
	SignalAnswered Signal = iota
	// SignalShed is a refusal for want of room; the server lives.
	SignalShed
	// SignalNoConnection means that no connection came about.
	SignalNoConnection
	// SignalBroken means that a connection broke before the answer was whole.
	SignalBroken
)

const (
	// unconnectedLimit and brokenLimit are the signs in a row that condemn. One
	// request may break connections by itself, so those need more.
	unconnectedLimit = 2
	brokenLimit      = 4
	// panicShare is the part of a service's backend servers above which none is
	// taken out.
	panicShare = 0.5
	// probeInterval is the time between two probes of one backend server. A probe
	// costs it about 6 ms, and home and deputy may both probe: 0.6% of its time.
	probeInterval = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// trialAfter is how long a failing server waits for a request on trial, should
	// probes not clear it; it doubles up to trialMost.
	trialAfter = 10 * time.Second
	trialMost  = 2 * time.Minute
)

// Monitor judges the backend servers that an entry uses.
type Monitor struct {
	// Probe asks a backend server for a sign of life.
	Probe func(ctx context.Context, server *intent.BackendServer) error
	// MarkFailing tells whether a backend server may get new work.
	MarkFailing func(server string, failing bool)
	// MarkReachable is told of signs of life of a failure domain.
	MarkReachable func(failureDomain string)
	// SilentDomains lists failure domains whose signs of life are wanted.
	SilentDomains func() []string
	// Events takes changes; it may be nil.
	Events *timeline.Ring

	mu            sync.Mutex
	configuration *intent.Configuration
	records       map[string]*record
	turn          int
}

// record is what is known of one backend server.
type record struct {
	server      *intent.BackendServer
	unconnected int
	broken      int
	// failing says that the signs condemn it, marked that it was taken out.
	failing bool
	marked  bool
	probed  time.Time
	// trial is when it gets a request on trial; patience is the wait before.
	trial    time.Time
	patience time.Duration
}

// Configure takes a new configuration over.
func (w *Monitor) Configure(configuration *intent.Configuration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := make(map[string]*record)
	for _, service := range configuration.Services {
		for i := range service.BackendServers {
			server := &service.BackendServers[i]
			known := w.records[server.Name]
			if known == nil || known.server.Address != server.Address {
				if known != nil && known.marked {
					w.MarkFailing(server.Name, false)
				}
				known = &record{}
			}
			known.server = server
			next[server.Name] = known
		}
	}
	w.records = next
	w.configuration = configuration
}

// Observe takes a sign over.
func (w *Monitor) Observe(server *intent.BackendServer, sign Signal) {
	if sign != SignalNoConnection {
		w.MarkReachable(server.FailureDomain)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.records[server.Name]
	if known == nil {
		return
	}
	switch sign {
	case SignalAnswered, SignalShed:
		w.clear(known)
	case SignalNoConnection:
		known.unconnected++
	case SignalBroken:
		known.broken++
	}
	if !known.failing && (known.unconnected >= unconnectedLimit || known.broken >= brokenLimit) {
		known.failing = true
		known.patience = min(trialMost, max(trialAfter, 2*known.patience))
		known.trial = time.Now().Add(known.patience)
	}
	w.apply(server.Service)
}

// clear forgets what speaks against a backend server.
func (w *Monitor) clear(known *record) {
	known.unconnected = 0
	known.broken = 0
	if !known.failing {
		known.patience = 0
	}
	known.failing = false
}

// apply marks the failing backend servers of a service, or none when they are too
// many.
func (w *Monitor) apply(service string) {
	servers := w.configuration.Service(service).BackendServers
	failing := 0
	for i := range servers {
		if w.records[servers[i].Name].failing {
			failing++
		}
	}
	suspended := float64(failing) > panicShare*float64(len(servers))
	for i := range servers {
		known := w.records[servers[i].Name]
		if marked := known.failing && !suspended; marked != known.marked {
			known.marked = marked
			w.MarkFailing(known.server.Name, marked)
			w.record(known)
		}
	}
}

func (w *Monitor) record(known *record) {
	kind := "server-recovered"
	if known.marked {
		kind = "server-failing"
	}
	w.Events.Record(timeline.Event{
		Kind:    kind,
		Service: known.server.Service,
		Server:  known.server.Name,
	})
}

// Run probes until ctx is done.
func (w *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval / 2)
	defer ticker.Stop()
	for {
		w.probeDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probeDue probes the backend servers whose turn it is, all at once.
func (w *Monitor) probeDue(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range w.due(w.SilentDomains()) {
		group.Go(func() {
			if w.Probe(ctx, server) == nil {
				w.Observe(server, SignalAnswered)
			}
		})
	}
	group.Wait()
}

// due returns the failing backend servers and one, in turn, of each silent
// failure domain; none that was probed within probeInterval. A failing one whose
// trial has come is cleared.
func (w *Monitor) due(silent []string) []*intent.BackendServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.configuration == nil {
		return nil
	}
	now := time.Now()
	var due []*intent.BackendServer
	add := func(known *record) {
		if now.Sub(known.probed) >= probeInterval {
			known.probed = now
			due = append(due, known.server)
		}
	}
	byDomain := make(map[string][]*record)
	for _, service := range w.configuration.Services {
		for i := range service.BackendServers {
			known := w.records[service.BackendServers[i].Name]
			byDomain[known.server.FailureDomain] = append(byDomain[known.server.FailureDomain], known)
			if known.failing && now.After(known.trial) {
				known.failing = false
				known.unconnected = unconnectedLimit - 1
				w.apply(service.Name)
			}
			if known.failing {
				add(known)
			}
		}
	}
	w.turn++
	for _, domain := range silent {
		if servers := byDomain[domain]; len(servers) > 0 {
			add(servers[w.turn%len(servers)])
		}
	}
	return due
}
