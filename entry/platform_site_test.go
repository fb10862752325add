package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// platformSite runs entries that share a store, with servers in memory.
type platformSite struct {
	network datagramNetwork
	store   *store.Server
	// regions is the number of regions among which the entries and servers are spread.
	regions int
	// slots is the number of slots of each server.
	slots int
	// busyServers is the number of servers, apart from those in memory, at which each entry
	// reports requests in flight.
	busyServers uint32
	// nodes and stops hold the running entry with an index, and the function that ends it.
	nodes []*platformNode
	stops []func()
	// withCallers holds the entries that get requests of callers; all do if it is empty.
	withCallers []*platformNode
	// servers is keyed by address.
	servers map[string]*siteServer
	// group waits for the goroutines of servers and callers.
	group sync.WaitGroup

	mu sync.Mutex
	// serverConns holds the servers' ends of connections.
	serverConns []net.Conn
	// sent counts the requests of callers, and statuses the responses by status.
	sent     int
	statuses map[int]int
	// longestRefusal is the longest time until a response with status 503, and
	// shortestRetryAfter the shortest Retry-After in one.
	longestRefusal     time.Duration
	shortestRetryAfter time.Duration
}

// newPlatformSite starts entries and waits until they have heard of each other. It must be
// called in a synctest bubble.
func newPlatformSite(t *testing.T, site *platformSite, entries, servers int) *platformSite {
	t.Helper()
	site.store = store.New()
	site.nodes = make([]*platformNode, entries)
	site.stops = make([]func(), entries)
	site.servers = make(map[string]*siteServer)
	site.statuses = make(map[int]int)
	site.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, []byte(`{"version":1,
"services":[{"name":"desk","health_path":"/healthz","max_conns":330,"cold_start":"1s","cold_per_s":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"browse","prefix":"/browse/","kind":"safe","timeout":"2s","goal":"600ms","priority":2,"service":"desk","attempts":2,"sticky":true}]}]}`))
	for index := range servers {
		site.addServer(index)
	}
	for index := range entries {
		site.start(index)
	}
	t.Cleanup(site.close)
	time.Sleep(2 * time.Second)
	synctest.Wait()
	return site
}

// addServer adds the server with an index and registers it.
func (s *platformSite) addServer(index int) {
	server := &siteServer{
		id:       fmt.Sprintf("i-%d", index),
		workTime: 300 * time.Millisecond,
		told:     make(map[int]time.Time),
	}
	address := fmt.Sprintf("10.9.0.%d:8080", index+1)
	s.servers[address] = server
	s.register(index, 1)
}

// register registers the server with an index, started at a time in Unix milliseconds.
func (s *platformSite) register(index int, startUnixMS int64) {
	s.store.PutRow(platform.ServerTable, fmt.Sprintf("i-%d", index), fmt.Appendf(nil,
		`{"addr":"10.9.0.%d:8080","info":{"service":"desk","version":"v1","zone":"region-%d-a","slots":%d},"status":{"state":"ready","seq":1,"cold_left":"0ms"},"born":%d}`,
		index+1, index%s.regions, s.slots, startUnixMS))
}

// memoryStore returns a client of an entry for the site's store.
func (s *platformSite) memoryStore(n *platformNode) *platform.Client {
	client := platform.NewClient("http://store", &http.Client{
		Transport: handlerTransport{
			handler: s.store,
		},
	})
	client.Eras = &n.eras
	return client
}

// start starts the entry with an index as a new process, which has no listeners.
func (s *platformSite) start(index int) {
	n, conn := s.newNode(index)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.tracker.Run(ctx, conn) })
	group.Go(func() { n.trials.run(ctx) })
	group.Go(func() { n.checkServers(ctx) })
	if len(s.servers) > 0 {
		group.Go(func() { n.registry.Run(ctx) })
	}
	s.nodes[index] = n
	s.stops[index] = func() {
		cancel()
		group.Wait()
	}
}

// newNode returns the entry with an index, and the connection for its datagrams.
func (s *platformSite) newNode(index int) (*platformNode, *datagramConn) {
	ip := fmt.Sprintf("10.0.%d.%d", index/200, index%200+1)
	regions := make(map[string]string)
	for region := range s.regions {
		regions[fmt.Sprintf("region-%d-a", region)] = fmt.Sprintf("region-%d", region)
	}
	n := newPlatformNode(platform.Settings{
		Name:           fmt.Sprintf("entry-%d", index),
		Region:         fmt.Sprintf("region-%d", index%s.regions),
		FailureDomain:  fmt.Sprintf("region-%d-a", index%s.regions),
		DomainRegions:  regions,
		IP:             ip,
		PeerPorts:      [2]int{7720, 7735},
		MaxDescriptors: 4100,
		// The servers of a site write their registrations only when a test says so.
		RegistrationInterval: 1500 * time.Millisecond,
		Bounds: platform.Bounds{
			StableWindow: undisturbedWindow,
			DrainTime:    2500 * time.Millisecond,
			GracePeriod:  6 * time.Second,
			RetryRatio:   0.2,
			RetryWindow:  10 * time.Second,
			RetrySlack:   56,
			ColdFactor:   1.5,
			ColdSlack:    5,
		},
	}, &log.Logger{
		Level: log.InfoLevel,
		Writer: log.IOWriter{
			Writer: io.Discard,
		},
	}, func() int64 { return 0 })
	n.tracker.Store, n.registry.OperatorStore, n.registry.ServerStore = s.memoryStore(n), s.memoryStore(n), s.memoryStore(n)
	n.trials.table = s.memoryStore(n).Platform().Table
	n.tracker.FillPresence = func(message *teaselv1.Presence) {
		n.fillPresence(message)
		for server := range s.busyServers {
			message.Servers = append(message.Servers, server)
			message.InFlight = append(message.InFlight, 1)
		}
	}
	n.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, keepAliveDialTimeout)
		defer cancel()
		return s.dial(ctx, index, address)
	}
	return n, s.network.open(net.JoinHostPort(ip, "7720"))
}

// stopAll ends all entries.
func (s *platformSite) stopAll() {
	for _, stop := range s.stops {
		stop()
	}
}

// close ends all entries and servers.
func (s *platformSite) close() {
	s.stopAll()
	s.mu.Lock()
	for _, conn := range s.serverConns {
		conn.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// dial connects an entry to the server with an address.
func (s *platformSite) dial(ctx context.Context, entry int, address string) (net.Conn, error) {
	server := s.servers[address]
	if server == nil {
		return nil, errors.Errorf("no server at %s", address)
	}
	if err := server.awaitAccept(ctx); err != nil {
		return nil, err
	}
	entryConn, serverConn := net.Pipe()
	s.mu.Lock()
	s.serverConns = append(s.serverConns, serverConn)
	s.mu.Unlock()
	start := server.accept(serverConn)
	s.group.Go(func() {
		defer serverConn.Close()
		server.serve(entry, start, serverConn)
	})
	return entryConn, nil
}

// runCallers sends requests for a while, at random times and to random entries, and waits
// for their responses.
func (s *platformSite) runCallers(t *testing.T, perSecond float64, duration time.Duration) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	var callers sync.WaitGroup
	for end, number := time.Now().Add(duration), 0; time.Now().Before(end); number++ {
		request := httptest.NewRequest(http.MethodGet, fmt.Sprintf("/browse/%d-%d", time.Now().UnixNano(), number), http.NoBody)
		request.Host = "desk.example"
		request.Header.Set("X-Teaselstack-Request-Id", fmt.Sprintf("r%d-%d", time.Now().UnixNano(), number))
		request.Header.Set("X-Teaselstack-Deadline-Ms", "4000")
		request.AddCookie(&http.Cookie{
			Name:  "X-Teaselstack-Affinity-Key",
			Value: fmt.Sprint(random.IntN(200)),
		})
		s.sent++
		nodes := s.withCallers
		if len(nodes) == 0 {
			nodes = s.nodes
		}
		node := nodes[random.IntN(len(nodes))]
		callers.Go(func() {
			response, began := httptest.NewRecorder(), time.Now()
			node.gateway.ServeHTTP(response, request)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.statuses[response.Code]++
			if response.Code == http.StatusServiceUnavailable {
				s.longestRefusal = max(s.longestRefusal, time.Since(began))
				seconds, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
				if err == nil {
					s.shortestRetryAfter = min(s.shortestRetryAfter, time.Duration(seconds*float64(time.Second)))
				}
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	callers.Wait()
}

// siteServer is a backend server of a platformSite.
type siteServer struct {
	id       string
	workTime time.Duration

	mu sync.Mutex
	// limit is the value of the header Server-Limit in responses; "" leaves it out.
	limit string
	// refuseEvery makes the server refuse each request whose number is a multiple of it, without
	// any statement; 0 means none.
	refuseEvery int
	// leaving reports whether the server states that it is shutting down.
	leaving bool
	// wait is the value of Retry-After with which the server refuses each request; "" makes it
	// run requests.
	wait string
	// refusals holds the responses with Retry-After: when they were sent, and to which entry.
	refusals []siteArrival
	// told holds when the server first sent a response with a limit, or that it is leaving, to
	// an entry.
	told map[int]time.Time
	// arrivals holds the requests in the order of their arrival.
	arrivals []siteArrival
	// starts is the number of processes that have run at the server's address before the present
	// one, coldUntil the time until which that one is cold, and conns holds the connections to it.
	starts    int
	coldUntil time.Time
	conns     []net.Conn
	// slowness is how much longer requests take for the time being.
	slowness time.Duration
	// down reports whether the server's host refuses connections, and silent whether it
	// answers nothing at all.
	down   bool
	silent bool
	// crash, if not nil, is called with each request. If it returns true, the server has crashed
	// while it ran the request.
	crash func(request *http.Request) bool
}

// siteArrival is the arrival of a request of an entry at a server.
type siteArrival struct {
	at    time.Time
	entry int
}

// setLimit sets the limit that the server states from now on.
func (s *siteServer) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// leave makes the server state from now on that it is shutting down.
func (s *siteServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// refuse makes the server refuse requests with a value of Retry-After; "" makes it run them.
func (s *siteServer) refuse(wait string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait = wait
}

// work returns how long a request takes.
func (s *siteServer) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workTime + s.slowness
}

// refusing reports whether the server refuses requests, and records a refusal to an entry if
// so.
func (s *siteServer) refusing(entry int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wait == "" {
		return false
	}
	s.refusals = append(s.refusals, siteArrival{
		at:    time.Now(),
		entry: entry,
	})
	return true
}

// serve responds to the requests on a connection to a process until it breaks.
func (s *siteServer) serve(entry, start int, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.awaitProcess(start) {
			return
		}
		if request.URL.Path == "/healthz" {
			if _, err := io.WriteString(conn, s.healthResponse()); err != nil {
				return
			}
			continue
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, siteArrival{
			at:    time.Now(),
			entry: entry,
		})
		s.mu.Unlock()
		if !s.refusing(entry) {
			time.Sleep(s.work())
		}
		if !s.awaitProcess(start) {
			return
		}
		if s.crash != nil && s.crash(request) {
			return
		}
		if _, err := io.WriteString(conn, s.response(entry, request.Header.Get("X-Teaselstack-Request-Id"))); err != nil {
			return
		}
	}
}

// response returns the response to a request of an entry.
func (s *siteServer) response(entry int, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuseEvery > 0 && len(s.arrivals)%s.refuseEvery == 0 {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Teaselstack-Request-Id: %s\r\nX-Teaselstack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	if s.wait != "" {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Teaselstack-Request-Id: %s\r\nX-Teaselstack-Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
			id, s.wait)
	}
	statement := ""
	if s.leaving {
		statement = "Server-Leaving: 1\r\n"
	}
	if s.limit != "" {
		statement += "Server-Limit: " + s.limit + "\r\n"
	}
	if statement != "" {
		if _, told := s.told[entry]; !told {
			s.told[entry] = time.Now()
		}
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Teaselstack-Request-Id: %s\r\nX-Teaselstack-Response-Stamp: %s\r\n%sContent-Length: 5\r\n\r\nwhole",
		id, s.id, statement)
}

// assertWaited checks that after each refusal, from half a second on to the end of the wait, at
// most two requests of the entry arrived.
func (s *siteServer) assertWaited(t *testing.T, wait time.Duration) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, refusal := range s.refusals {
		count := 0
		for _, arrival := range s.arrivals {
			since := arrival.at.Sub(refusal.at)
			if arrival.entry == refusal.entry && since > 500*time.Millisecond && since < wait {
				count++
			}
		}
		assert.Assert(t, count <= 2, "server %s got %d requests of entry %d while it wanted none for %s", s.id, count, refusal.entry, wait)
	}
}

// arrivalsBetween returns the number of requests that arrived in an interval. With toldOnly,
// only those of entries that had been told of a limit half a second before or earlier count.
func (s *siteServer) arrivalsBetween(from, to time.Time, toldOnly bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, arrival := range s.arrivals {
		told, known := s.told[arrival.entry]
		if toldOnly && (!known || arrival.at.Sub(told) < 500*time.Millisecond) {
			continue
		}
		if !arrival.at.Before(from) && arrival.at.Before(to) {
			count++
		}
	}
	return count
}

// entriesBetween returns the entries whose requests arrived in an interval.
func (s *siteServer) entriesBetween(from, to time.Time) map[int]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make(map[int]bool)
	for _, arrival := range s.arrivals {
		if !arrival.at.Before(from) && arrival.at.Before(to) {
			entries[arrival.entry] = true
		}
	}
	return entries
}

// assertWithinLimit checks that in each span of four seconds from a time on, requests of
// entries that had been told of a limit stayed within one and a half times what the limit
// allows, plus five.
func (s *siteServer) assertWithinLimit(t *testing.T, limit float64, from, to time.Time) {
	t.Helper()
	const span = 4 * time.Second
	allowed := 1.5*limit*span.Seconds() + 5
	for start := from; !start.Add(span).After(to); start = start.Add(50 * time.Millisecond) {
		count := s.arrivalsBetween(start, start.Add(span), true)
		assert.Assert(t, float64(count) <= allowed, "server %s with a limit of %g a second got %d requests in four seconds from entries that it had told; allowed %g",
			s.id, limit, count, allowed)
	}
}
