package presence_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/teaselstack/teaselstack/entry/presence"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// testNode is one entry with a tracker that sends and receives on the loopback interface.
type testNode struct {
	tracker *presence.Tracker
	entry   presence.Entry
	stop    func()

	mu      sync.Mutex
	serving bool
	// messages counts the messages received, by the name of the sending entry.
	messages map[string]int
}

// startTestNode runs the entry whose name ends in number, in a region and with the store
// at url, until the test ends or stop is called.
func startTestNode(t *testing.T, url string, number int, region string) *testNode {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &testNode{
		serving:  true,
		messages: make(map[string]int),
		entry: presence.Entry{
			Name:          fmt.Sprintf("entry-%d", number),
			Region:        region,
			FailureDomain: region + "-a",
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", number),
			PeerAddress:   conn.LocalAddr().String(),
		},
	}
	n.tracker = &presence.Tracker{
		Self: func() presence.Entry {
			n.mu.Lock()
			defer n.mu.Unlock()
			self := n.entry
			self.Serving = n.serving
			return self
		},
		ApplyPresence: func(message *teaselv1.Presence) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.messages[message.GetName()]++
		},
		Store: platform.NewClient(url, http.DefaultClient),
		Logger: &log.Logger{
			Level:  log.InfoLevel,
			Writer: log.IOWriter{Writer: io.Discard},
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.tracker.Run(ctx, conn) })
	n.stop = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(n.stop)
	return n
}

// hasServingEntries reports whether ServingEntries returns count entries, this one
// included if it serves.
func (n *testNode) hasServingEntries(count int) bool { return len(n.tracker.ServingEntries()) == count }

// eventually waits until condition returns true, and fails the test after 20 seconds.
// awaited describes the condition in the failure message.
func eventually(t *testing.T, awaited string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", awaited)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// TestEntriesFindEachOther checks that entries discover each other through their rows,
// and that ServingEntries omits an entry once it announces that it doesn't serve or once
// it has timed out. Position still counts it after that.
func TestEntriesFindEachOther(t *testing.T) {
	storeServer := httptest.NewServer(store.New())
	defer storeServer.Close()
	var nodes []*testNode
	for i := range 4 {
		nodes = append(nodes, startTestNode(t, storeServer.URL, i, []string{"north", "south"}[i%2]))
	}
	eventually(t, "every entry knows all entries", func() bool {
		for _, node := range nodes {
			if !node.hasServingEntries(4) {
				return false
			}
		}
		return true
	})
	index, count := nodes[2].tracker.Position()
	assert.Equal(t, index, 2)
	assert.Equal(t, count, 4)
	nodes[1].mu.Lock()
	nodes[1].serving = false
	nodes[1].mu.Unlock()
	nodes[1].tracker.Announce()
	eventually(t, "the entry that stopped serving is not named", func() bool { return nodes[0].hasServingEntries(3) && nodes[3].hasServingEntries(3) })
	nodes[2].stop()
	eventually(t, "the stopped entry is not named", func() bool { return nodes[0].hasServingEntries(2) })
	_, count = nodes[0].tracker.Position()
	assert.Equal(t, count, 4, "an entry that timed out must still count")
}

// TestReplacedEntryIsFoundAfterReturnFromCopy guards against an entry that is never told anything
// at its new address, because its row got a lower version when the store had come back from a
// copy than its earlier row had before.
func TestReplacedEntryIsFoundAfterReturnFromCopy(t *testing.T) {
	server := store.New()
	storeServer := httptest.NewServer(server)
	defer storeServer.Close()
	copied := server.TakeCopy()
	// put writes the row of an entry at a new address and returns its socket.
	put := func() net.PacketConn {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, conn.Close()) })
		content, err := proto.Marshal(&teaselv1.Presence{
			Name:   "entry-9",
			Region: "north",
			Peers:  conn.LocalAddr().String(),
		})
		assert.NilError(t, err)
		server.PutRow("entries", "entry-9", content)
		return conn
	}
	heard := func(conn net.PacketConn) bool {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, _, err := conn.ReadFrom(make([]byte, 1))
		return err == nil
	}
	for range 10 {
		server.PutRow("others", "row", nil)
	}
	before := put()
	startTestNode(t, storeServer.URL, 0, "north")
	eventually(t, "the entry is told at its address", func() bool { return heard(before) })
	server.RestoreCopy(copied, false)
	after := put()
	eventually(t, "the entry is told at its new address", func() bool { return heard(after) })
}
