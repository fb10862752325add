package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/proxy"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/standin/site"
)

// Addresses of backend servers of the example site, with their failure domains.
const (
	agentDesk1 = "127.0.0.1:20100" // fi-central-a
	agentDesk3 = "127.0.0.1:20102" // se-east-a
	agentDesk7 = "127.0.0.1:20106" // fi-central-a
	agentDesk8 = "127.0.0.1:20107" // fi-central-b
)

// fixture is a relay whose targets are in-memory connections that echo all bytes.
type fixture struct {
	relay *Server
	// ctx is done at the end of the test, which closes the relayed connections.
	ctx context.Context
	// group waits for the goroutines of the relay and of the targets.
	group sync.WaitGroup
}

// newFixture returns a relay for the example site kasikirjoitus.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	loaded, err := site.Load("../../examples/kasikirjoitus")
	assert.NilError(t, err)
	f := &fixture{}
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	f.relay = New(NewTopology(loaded), WithDial(func(context.Context, string, string) (net.Conn, error) {
		relayEnd, targetEnd := net.Pipe()
		f.group.Go(func() { _, _ = io.Copy(targetEnd, targetEnd) })
		return relayEnd, nil
	}))
	t.Cleanup(func() {
		cancel()
		f.group.Wait()
	})
	return f
}

// dial connects to an address through the relay under a SOCKS user name, as an
// entry or a caller does.
func (f *fixture) dial(t *testing.T, user, address string) net.Conn {
	t.Helper()
	clientEnd, relayEnd := net.Pipe()
	f.group.Go(func() { f.relay.ServeConn(f.ctx, relayEnd) })
	dialer, err := proxy.SOCKS5("tcp", "127.0.0.1:1", &proxy.Auth{
		User: user,
	}, pipeDialer{
		conn: clientEnd,
	})
	assert.NilError(t, err)
	conn, err := dialer.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// pipeDialer is a proxy.Dialer that returns an existing connection, whatever address
// it is given.
type pipeDialer struct {
	conn net.Conn
}

func (d pipeDialer) Dial(string, string) (net.Conn, error) {
	return d.conn, nil
}

// roundTrip sends bytes, reads their echo, and returns how long both took together.
func roundTrip(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	start := time.Now()
	_, err := conn.Write([]byte("ping"))
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 4))
	assert.NilError(t, err)
	return time.Since(start)
}

// Connecting through the relay takes one round trip, and so does an echo.
func TestOneWayDelays(t *testing.T) {
	for name, test := range map[string]struct {
		user    string
		address string
		oneWay  time.Duration
	}{
		"same failure domain": {
			user:    "fi-central-a",
			address: agentDesk1,
		},
		"between failure domains": {
			user:    "fi-central-a",
			address: agentDesk8,
			oneWay:  time.Millisecond,
		},
		"between regions": {
			user:    "fi-central-a",
			address: agentDesk3,
			oneWay:  55 * time.Millisecond,
		},
		"caller": {
			user:    CallerUser("fi-central"),
			address: agentDesk1,
			oneWay:  3 * time.Millisecond,
		},
		"caller of another region": {
			user:    CallerUser("fi-central"),
			address: agentDesk3,
			oneWay:  58 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				start := time.Now()
				conn := f.dial(t, test.user, test.address)
				assert.Equal(t, time.Since(start), 2*test.oneWay)
				assert.Equal(t, roundTrip(t, conn), 2*test.oneWay)
			})
		})
	}
}

// A partition of either direction delays the echo until the partition heals, and does
// not affect connections within a failure domain.
func TestPartitionHoldsDataUntilHealed(t *testing.T) {
	for name, partition := range map[string]Partition{
		"direction to the target": {
			From: "fi-central-a",
			To:   "se-east",
		},
		"direction from the target": {
			From: "se-east-a",
			To:   "fi-central",
		},
		"all": {
			From: AllLocations,
			To:   "se-east-a",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				conn := f.dial(t, "fi-central-a", agentDesk3)
				sameDomain := f.dial(t, "fi-central-a", agentDesk7)
				f.relay.SetPartition(partition, true)
				heal := time.AfterFunc(time.Minute, func() { f.relay.SetPartition(partition, false) })
				defer heal.Stop()
				assert.Equal(t, roundTrip(t, sameDomain), time.Duration(0))
				assert.Assert(t, roundTrip(t, conn) >= time.Minute)
			})
		})
	}
}

// All connections between two regions together stay within the rate of the link
// plus its burst.
func TestLinkRateCapsSumOfConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		const (
			connections    = 16
			totalBytes     = 512 << 20
			bytesPerSecond = 500_000_000 // 4 Gbit/s
		)
		var conns []net.Conn
		for range connections {
			conns = append(conns, f.dial(t, "fi-central-a", agentDesk3))
		}
		start := time.Now()
		var group sync.WaitGroup
		for _, conn := range conns {
			group.Go(func() { _, _ = io.CopyN(io.Discard, conn, totalBytes/connections) })
			group.Go(func() {
				part := make([]byte, 1<<20)
				for range totalBytes / connections / len(part) {
					_, _ = conn.Write(part)
				}
			})
		}
		group.Wait()
		minDuration := (totalBytes - burstBytes) * time.Second / bytesPerSecond
		assert.Assert(t, time.Since(start) >= minDuration)
		for _, load := range f.relay.LinkLoads() {
			assert.Assert(t, float64(load.PeakBytes) <= load.BytesPerSecond+burstBytes, "%s to %s", load.From, load.To)
		}
	})
}

func TestUnknownSourceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		clientEnd, relayEnd := net.Pipe()
		f.group.Go(func() { f.relay.ServeConn(f.ctx, relayEnd) })
		dialer, err := proxy.SOCKS5("tcp", "127.0.0.1:1", &proxy.Auth{
			User: "nowhere",
		}, pipeDialer{
			conn: clientEnd,
		})
		assert.NilError(t, err)
		_, err = dialer.Dial("tcp", agentDesk1)
		assert.ErrorContains(t, err, "not allowed")
	})
}
