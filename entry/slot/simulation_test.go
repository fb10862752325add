package slot

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/intent"
)

// TestMain sets defaults for the flags of the property tests: a fixed seed, so that
// runs are reproducible, and the number of checks.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":   "4",
		"rapid.checks": "250",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// compileConfiguration compiles a configuration with one service, which has a deadline
// of 5 seconds and testServerCount backend servers with the given slots in failure
// domain north-a. Entries are given as name@failure-domain, caps as lines of the service
// document; extra holds further documents, such as drains.
func compileConfiguration(t assert.TestingT, version uint64, entries []string, slots int, caps string, extra ...intent.Document) *intent.Configuration {
	var text strings.Builder
	text.WriteString("name = \"test\"\n[objective]\nlatency = 1\n")
	for _, region := range []string{"north", "south"} {
		fmt.Fprintf(&text, "[[region]]\nname = %q\n", region)
	}
	for _, domain := range []string{"north-a", "north-b", "south-a"} {
		// The first five letters of a domain's name are the name of its region.
		fmt.Fprintf(&text, "[[failure-domain]]\nname = %q\nregion = %q\n", domain, domain[:5])
	}
	for _, entry := range entries {
		name, domain, _ := strings.Cut(entry, "@")
		fmt.Fprintf(&text, "[[entry]]\nname = %q\nfailure-domain = %q\n", name, domain)
	}
	service := fmt.Sprintf("name = \"desk\"\ndeadline = \"5s\"\nramp = \"4s\"\n[[region]]\nname = \"north\"\n%s\n", caps)
	for i := range testServerCount {
		service += fmt.Sprintf("[[backend-server]]\nname = \"desk-%d\"\naddress = \"127.0.0.1:%d\"\nfailure-domain = \"north-a\"\nslots = %d\n", i+1, 100+i, slots)
	}
	configuration, err := intent.Compile(version, append([]intent.Document{
		{
			Name:    intent.DeploymentDocument,
			Content: []byte(text.String()),
		},
		{
			Name:    "services/desk.toml",
			Content: []byte(service),
		},
	}, extra...))
	assert.NilError(t, err)
	return configuration
}

// testServerCount is the number of backend servers of the service. Tests with two
// entries in the failure domain of the servers call them "one" and "two-b", or "one" and
// "four", because rendezvous hashing then makes each of them home of one server.
const testServerCount = 2

const unlimitedCaps = "max-rate = 1000000000\nshift-rate = 1000000000"

// simulatedEntry is one entry VM of a simulation.
type simulatedEntry struct {
	name string
	// domain is the entry's failure domain.
	domain string
	// ledger belongs to the newest process of the entry.
	ledger *Ledger
	// clockRate is the rate of the entry's clock relative to the simulation's time.
	clockRate float64
	// version is the configuration version that the entry has applied.
	version uint64
	// paused reports whether the process is suspended, dead that no process of the entry
	// runs because it was killed or its VM was lost.
	paused bool
	dead   bool
	// lastRun is the simulation's time when a process of the entry last ran.
	lastRun time.Duration
	// backlog holds heartbeats that arrived during a pause.
	backlog []*teaselv1.HeartbeatRequest
}

// runningRequest is a request that runs on a backend server. Its times are the
// simulation's.
type runningRequest struct {
	entry *simulatedEntry
	// ledger belongs to the process that started the request.
	ledger *Ledger
	grant  *Grant
	server string
	// originRegion is the region of the entry that received the request from the caller.
	originRegion string
	start        time.Duration
	// doneBy is the time by which the server has ended the request: the deadline of the
	// service plus deadlineMargin after start.
	doneBy time.Duration
}

// delivery is a heartbeat or a response to one in transit.
type delivery struct {
	at      time.Duration
	deliver func()
}

// simulation runs several entries in simulated time. Their clocks may differ in rate.
type simulation struct {
	t      *rapid.T
	random *rand.Rand
	// now is the time since the start of the simulation.
	now     time.Duration
	entries []*simulatedEntry
	// partitioned holds pairs of failure domains, separated by a space, that
	// can't reach each other in either direction.
	partitioned map[string]bool
	caps        string
	// step is how much time advance lets pass at once.
	step          time.Duration
	requests      []runningRequest
	inTransit     []delivery
	lastHeartbeat time.Duration
	// configurations holds the configurations published so far, oldest first.
	configurations []*intent.Configuration
	// startCount is the number of requests started, deputyStartCount the number
	// of those started by deputies.
	startCount       int
	deputyStartCount int
	// onStart is called for each request that starts on a backend server.
	onStart func(runningRequest)
	// shortRequests makes most requests end within a few steps.
	shortRequests bool
}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock returns the time by the clock of an entry.
func (s *simulation) clock(entry *simulatedEntry) time.Time {
	return simulationStart.Add(time.Duration(float64(s.now) * entry.clockRate))
}

// startProcess starts a new process of an entry, with a new ledger. The requests of
// the former process end.
func (s *simulation) startProcess(entry *simulatedEntry) {
	entry.ledger = &Ledger{
		Entry:         entry.name,
		LeasesEnabled: true,
		Clock:         func() time.Time { return s.clock(entry) },
		RunningPeers: func() []string {
			var names []string
			for _, other := range s.entries {
				// A peer counts as dead once it has not run for 5 seconds.
				if other != entry && s.now-other.lastRun < 5*time.Second {
					names = append(names, other.name)
				}
			}
			return names
		},
	}
	entry.dead = false
	entry.paused = false
	entry.backlog = nil
	s.requests = removeRequests(s.requests, func(request runningRequest) bool { return request.entry == entry })
	s.configureNewest(entry)
}

// removeRequests returns the requests for which remove returns false.
func removeRequests(all []runningRequest, remove func(runningRequest) bool) []runningRequest {
	var kept []runningRequest
	for _, request := range all {
		if !remove(request) {
			kept = append(kept, request)
		}
	}
	return kept
}

// configureNewest applies the newest configuration to an entry.
func (s *simulation) configureNewest(entry *simulatedEntry) {
	newest := s.configurations[len(s.configurations)-1]
	entry.version = newest.Version
	entry.ledger.Configure(newest)
}

// connected reports whether messages pass between two failure domains.
func (s *simulation) connected(a, b string) bool {
	return a == b || !s.partitioned[a+" "+b] && !s.partitioned[b+" "+a]
}

func (s *simulation) member(entry *simulatedEntry) *teaselv1.Member {
	return &teaselv1.Member{
		Name:                 entry.name,
		FailureDomain:        entry.domain,
		ConfigurationVersion: entry.version,
	}
}

// heartbeatInterval is the default interval of package membership, and heartbeatTimeout
// the timeout that follows from it, three intervals.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1500 * time.Millisecond
)

// sendHeartbeats sends a heartbeat from each running entry to each other entry that it
// can reach. round counts the heartbeat intervals since the start of the simulation. Each
// heartbeat is lost with a chance of one third, except in every third round, so that a
// reachable entry misses at most two heartbeats in a row of the same sender.
func (s *simulation) sendHeartbeats(round int) {
	for _, from := range s.entries {
		for _, to := range s.entries {
			lost := s.random.IntN(3) == 0 && round%3 != 0
			if from == to || from.dead || from.paused || lost || !s.connected(from.domain, to.domain) {
				continue
			}
			s.sendHeartbeat(from, to)
		}
	}
}

// sendHeartbeat sends a heartbeat and the response to it, each with a random delay. A
// dead or partitioned receiver does not respond; a paused one handles the heartbeat when
// it resumes, and its response is lost. The response is dropped if the sender is dead,
// paused or partitioned when it arrives, has been restarted meanwhile, or sent the
// heartbeat heartbeatTimeout ago or earlier.
func (s *simulation) sendHeartbeat(from, to *simulatedEntry) {
	request := &teaselv1.HeartbeatRequest{
		Sender: s.member(from),
	}
	ledger := from.ledger
	ledger.fillRequest(s.member(to), request)
	sent, sentAt := s.clock(from), s.now
	s.deliverAfter(s.delay(), func() {
		if to.dead || !s.connected(from.domain, to.domain) {
			return
		}
		if to.paused {
			to.backlog = append(to.backlog, request)
			return
		}
		response := &teaselv1.HeartbeatResponse{
			Receiver: s.member(to),
		}
		to.ledger.handleRequest(request, response)
		s.deliverAfter(s.delay(), func() {
			if from.ledger == ledger && !from.dead && !from.paused && s.connected(from.domain, to.domain) && s.now-sentAt < heartbeatTimeout {
				ledger.handleResponse(sent, response)
			}
		})
	})
}

// delay returns a random one-way network delay.
func (s *simulation) delay() time.Duration {
	return time.Duration(1+s.random.IntN(300)) * time.Millisecond
}

// deliverAfter calls deliver once delay has passed in the simulation.
func (s *simulation) deliverAfter(delay time.Duration, deliver func()) {
	s.inTransit = append(s.inTransit, delivery{
		at:      s.now + delay,
		deliver: deliver,
	})
}

// advance lets time pass in steps. In each step messages arrive, and requests end and
// start. At their intervals, entries also send heartbeats, call Tick and probe the backend
// servers.
func (s *simulation) advance(length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.now += s.step
		due := s.inTransit
		s.inTransit = nil
		for _, message := range due {
			if message.at > s.now {
				s.inTransit = append(s.inTransit, message)
				continue
			}
			message.deliver()
		}
		s.finishRequests()
		if s.now-s.lastHeartbeat >= heartbeatInterval {
			s.lastHeartbeat = s.now
			s.sendHeartbeats(int(s.now / heartbeatInterval))
		}
		for _, entry := range s.entries {
			if entry.dead || entry.paused {
				continue
			}
			entry.lastRun = s.now
			if s.now%tickInterval == 0 {
				entry.ledger.Tick()
			}
			if s.now%time.Second == 0 && s.connected(entry.domain, "north-a") {
				entry.ledger.MarkReachable("north-a")
			}
			s.startRequests(entry)
		}
	}
}

// finishRequests ends the requests that have reached doneBy and, of entries that are
// neither dead nor paused, some others at random. It releases the slots of those that
// belong to such entries.
func (s *simulation) finishRequests() {
	s.requests = removeRequests(s.requests, func(request runningRequest) bool {
		running := !request.entry.dead && !request.entry.paused
		done := s.now >= request.doneBy || running && (s.random.IntN(20) == 0 || s.shortRequests && s.random.IntN(3) > 0)
		if done && running && request.ledger == request.entry.ledger {
			request.grant.Release()
		}
		return done
	})
}

// startRequests starts up to six requests at an entry that can reach the backend
// servers, until the entry refuses one.
func (s *simulation) startRequests(entry *simulatedEntry) {
	if !s.connected(entry.domain, "north-a") {
		return
	}
	for range 1 + s.random.IntN(6) {
		// With a deadline in the past, Acquire never waits.
		ctx, cancel := context.WithDeadline(context.Background(), simulationStart.Add(-time.Hour))
		cancel()
		originRegion := []string{"north", "south"}[s.random.IntN(2)]
		grant, err := entry.ledger.Acquire(ctx, Request{
			Service:      "desk",
			OriginRegion: originRegion,
		})
		if err != nil {
			return
		}
		s.startCount++
		if grant.backend.role == RoleDeputy {
			s.deputyStartCount++
		}
		s.requests = append(s.requests, runningRequest{
			entry:        entry,
			ledger:       entry.ledger,
			grant:        grant,
			server:       grant.Server.Name,
			originRegion: originRegion,
			start:        s.now,
			doneBy:       s.now + 5*time.Second + deadlineMargin,
		})
		s.checkSlots(grant.Server.Name)
		s.onStart(s.requests[len(s.requests)-1])
	}
}

// checkSlots fails the test if more requests run on a server than it has slots. Between
// the oldest configuration that an entry uses and the newest, the one with the most slots
// counts.
func (s *simulation) checkSlots(server string) {
	inUse, slots := 0, 0
	for _, request := range s.requests {
		if request.server == server {
			inUse++
		}
	}
	oldest := s.configurations[len(s.configurations)-1].Version
	for _, entry := range s.entries {
		oldest = min(oldest, entry.version)
	}
	for _, configuration := range s.configurations {
		if configuration.Version >= oldest {
			slots = max(slots, configuration.BackendServer(server).Slots)
		}
	}
	if inUse > slots {
		s.t.Fatalf("at %s: %d of %d slots of %s in use: %s", s.now, inUse, slots, server, s.describeRequests(server))
	}
}

// describeRequests lists the requests that run on a server, for the failure message.
func (s *simulation) describeRequests(server string) string {
	var text strings.Builder
	for _, request := range s.requests {
		if request.server == server {
			fmt.Fprintf(&text, "%s until %s; ", request.entry.name, request.doneBy)
		}
	}
	return text.String()
}

// newResponse returns the response of receiver to a heartbeat, without any lease.
func newResponse(receiver *teaselv1.Member) *teaselv1.HeartbeatResponse {
	return &teaselv1.HeartbeatResponse{
		Receiver: receiver,
	}
}
