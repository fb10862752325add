package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// datagramDelay is the delay of a datagram in a datagramNetwork: that of the link between
// two regions.
const datagramDelay = 55 * time.Millisecond

// datagramNetwork delivers datagrams between the connections that it opened, in memory, so
// that a synctest bubble can wait for them.
type datagramNetwork struct {
	mu    sync.Mutex
	conns map[string]*datagramConn
}

// datagramConn is one end of a datagramNetwork.
type datagramConn struct {
	net.PacketConn
	network *datagramNetwork
	address string
	arrived chan []byte
	closed  chan struct{}
}

// open returns the connection with an address.
func (n *datagramNetwork) open(address string) *datagramConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := &datagramConn{
		network: n,
		address: address,
		arrived: make(chan []byte, 1000),
		closed:  make(chan struct{}),
	}
	if n.conns == nil {
		n.conns = make(map[string]*datagramConn)
	}
	n.conns[address] = conn
	return conn
}

// deliver passes a datagram to the connection with an address, if there is one.
func (n *datagramNetwork) deliver(payload []byte, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if conn := n.conns[address]; conn != nil {
		conn.arrived <- payload
	}
}

// WriteTo sends a datagram.
func (c *datagramConn) WriteTo(payload []byte, to net.Addr) (int, error) {
	content := append([]byte(nil), payload...)
	time.AfterFunc(datagramDelay, func() { c.network.deliver(content, to.String()) })
	return len(payload), nil
}

// ReadFrom waits for the next datagram.
func (c *datagramConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case payload := <-c.arrived:
		return copy(buffer, payload), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// Close ends ReadFrom and drops later datagrams.
func (c *datagramConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.network.conns[c.address] == c {
		delete(c.network.conns, c.address)
	}
	close(c.closed)
	return nil
}

// handlerTransport is an http.RoundTripper that calls a handler without a network.
type handlerTransport struct {
	handler http.Handler
}

// RoundTrip returns the handler's response, or an error if the handler aborts it.
func (h handlerTransport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	defer func() {
		if aborted := recover(); aborted != nil {
			err = errors.Errorf("handler: %v", aborted)
		}
	}()
	recorder := httptest.NewRecorder()
	served := request.Clone(request.Context())
	if served.Body == nil {
		served.Body = http.NoBody
	}
	h.handler.ServeHTTP(recorder, served)
	return recorder.Result(), nil
}

// suspectSite runs the trackers of entries that share a store.
type suspectSite struct {
	network datagramNetwork
	store   *store.Server
	// regions is the number of regions among which the entries are spread.
	regions int
	// busyServers is the number of servers at which each entry reports requests in flight.
	busyServers uint32
	// nodes and stops hold the running entry with an index, and the function that ends it.
	nodes []*platformNode
	stops []func()
}

// newSuspectSite starts entries and waits until they have heard of each other. It must be
// called in a synctest bubble.
func newSuspectSite(t *testing.T, count, regions int, busyServers uint32) *suspectSite {
	t.Helper()
	s := &suspectSite{
		store:       store.New(),
		regions:     regions,
		busyServers: busyServers,
		nodes:       make([]*platformNode, count),
		stops:       make([]func(), count),
	}
	for index := range count {
		s.start(index)
	}
	t.Cleanup(s.stopAll)
	time.Sleep(2 * time.Second)
	return s
}

// start starts the entry with an index as a new process.
func (s *suspectSite) start(index int) {
	ip := fmt.Sprintf("10.0.%d.%d", index/200, index%200+1)
	n := newPlatformNode(platform.Settings{
		Name:          fmt.Sprintf("entry-%d", index),
		Region:        fmt.Sprintf("region-%d", index%s.regions),
		FailureDomain: fmt.Sprintf("region-%d-a", index%s.regions),
		IP:            ip,
		PeerPorts:     [2]int{7720, 7735},
	}, &log.Logger{
		Level: log.InfoLevel,
		Writer: log.IOWriter{
			Writer: io.Discard,
		},
	}, func() int64 { return 0 })
	n.tracker.Store = platform.NewClient("http://store", &http.Client{
		Transport: handlerTransport{
			handler: s.store,
		},
	})
	n.tracker.FillPresence = func(message *teaselv1.Presence) {
		n.fillPresence(message)
		for server := range s.busyServers {
			message.Servers = append(message.Servers, server)
			message.InFlight = append(message.InFlight, 1)
		}
	}
	conn := s.network.open(net.JoinHostPort(ip, "7720"))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.tracker.Run(ctx, conn) })
	s.nodes[index] = n
	s.stops[index] = func() {
		cancel()
		group.Wait()
	}
}

// stopAll ends all entries.
func (s *suspectSite) stopAll() {
	for _, stop := range s.stops {
		stop()
	}
}

// crashThree records that a request made three servers fail, each while another entry's
// request ran there.
func (s *suspectSite) crashThree(digest quarantine.Digest) {
	for index := range 3 {
		s.nodes[index].suspects.RecordFailure(digest, "desk", fmt.Sprintf("i-%010d@1764930000000", index))
	}
}

// assertQuarantined checks that each entry refuses a request.
func (s *suspectSite) assertQuarantined(t *testing.T, digest quarantine.Digest) {
	t.Helper()
	for index, n := range s.nodes {
		assert.Assert(t, n.suspects.Quarantined(digest), "entry %d would send the request on", index)
	}
}

// undisturbedWindow is the time within which all entries must know that a request has
// crashed three servers, as the platform sets it.
const undisturbedWindow = 4 * time.Second

// crashingDigest is the digest of the request under test.
var crashingDigest = quarantine.Digest{1}

// TestQuarantineReachesEntriesWhileManyConnectionsBreak guards against retries of a request
// that has crashed three servers, each seen by another entry, because datagrams have no
// room for suspects: servers break many connections at the same time, and entries have
// requests in flight at hundreds of servers.
func TestQuarantineReachesEntriesWhileManyConnectionsBreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 3, 400)
		for index, n := range s.nodes {
			for broken := range 20 {
				n.suspects.RecordFailure(quarantine.Digest{2, byte(index), byte(broken)}, "desk", fmt.Sprintf("i-%010d@1764930000000", broken))
			}
		}
		s.crashThree(crashingDigest)
		time.Sleep(undisturbedWindow)
		s.assertQuarantined(t, crashingDigest)
	})
}

// TestStartingEntryLearnsQuarantine guards against retries of a request that has crashed
// three servers by an entry that starts long after the last crash.
func TestStartingEntryLearnsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 3, 0)
		s.crashThree(crashingDigest)
		time.Sleep(30 * time.Second)
		for index := range s.nodes {
			s.stops[index]()
			time.Sleep(time.Second)
			s.start(index)
			time.Sleep(undisturbedWindow)
			s.assertQuarantined(t, crashingDigest)
		}
	})
}

// TestQuarantineOutlivesAllEntries guards against retries of a request that has crashed
// three servers after all entries were killed at the same time, also repeatedly.
func TestQuarantineOutlivesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 3, 0)
		s.crashThree(crashingDigest)
		time.Sleep(undisturbedWindow)
		for range 3 {
			s.stopAll()
			time.Sleep(2 * time.Second)
			for index := range s.nodes {
				s.start(index)
			}
			time.Sleep(undisturbedWindow)
			s.assertQuarantined(t, crashingDigest)
		}
	})
}

// TestSilentCrashesReachAllEntries guards against retries of a request that crashes servers
// in silence, each seen by another entry, some seconds before the servers are missed.
func TestSilentCrashesReachAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 3, 0)
		lost := false
		for index := range 3 {
			s.nodes[index].suspects.RecordUnanswered(crashingDigest, "desk", fmt.Sprintf("i-%d@1", index), func() bool { return !lost })
		}
		time.Sleep(8 * time.Second)
		lost = true
		for index := range 3 {
			s.nodes[index].removeServers([]string{"i-0", "i-1", "i-2"})
		}
		time.Sleep(undisturbedWindow)
		s.assertQuarantined(t, crashingDigest)
	})
}

// TestQuarantineReachesLargeFleet guards against retries of a request that has crashed three
// servers by entries of other regions, to which datagrams are rare in a large fleet.
func TestQuarantineReachesLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 300, 3, 0)
		s.crashThree(crashingDigest)
		time.Sleep(undisturbedWindow)
		s.assertQuarantined(t, crashingDigest)
	})
}
