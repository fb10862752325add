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
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/teaselstack/teaselstack/entry/presence"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
)

// node is one entry's roster on loopback.
type node struct {
	roster *presence.Tracker
	member presence.Entry
	stop   func()

	mu      sync.Mutex
	serving bool
	heard   map[string]int
}

func startNode(t *testing.T, url string, number int, region string) *node {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{
		serving: true,
		heard:   make(map[string]int),
		member: presence.Entry{
			Name:          fmt.Sprintf("entry-%d", number),
			Region:        region,
			FailureDomain: region + "-a",
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", number),
			PeerAddress:   conn.LocalAddr().String(),
		},
	}
	n.roster = &presence.Tracker{
		Self: func() presence.Entry {
			n.mu.Lock()
			defer n.mu.Unlock()
			self := n.member
			self.Serving = n.serving
			return self
		},
		ApplyPresence: func(told *teaselv1.Presence) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.heard[told.GetName()]++
		},
		Store: platform.NewClient(url, http.DefaultClient),
		Logger: &log.Logger{
			Level:  log.InfoLevel,
			Writer: log.IOWriter{Writer: io.Discard},
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.roster.Run(ctx, conn) })
	n.stop = func() {
		cancel()
		group.Wait()
	}
	t.Cleanup(n.stop)
	return n
}

func (n *node) serves(names int) bool { return len(n.roster.ServingEntries()) == names }

func eventually(t *testing.T, event string, happened func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if happened() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", event)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// TestEntriesFindEachOther through their rows, leave the look-ups as soon as they
// say so, and are forgotten once silent.
func TestEntriesFindEachOther(t *testing.T) {
	served := httptest.NewServer(store.New())
	defer served.Close()
	var nodes []*node
	for i := range 4 {
		nodes = append(nodes, startNode(t, served.URL, i, []string{"north", "south"}[i%2]))
	}
	eventually(t, "all know all", func() bool {
		for _, each := range nodes {
			if !each.serves(4) {
				return false
			}
		}
		return true
	})
	index, count := nodes[2].roster.Position()
	assert.Equal(t, index, 2)
	assert.Equal(t, count, 4)
	nodes[1].mu.Lock()
	nodes[1].serving = false
	nodes[1].mu.Unlock()
	nodes[1].roster.Broadcast()
	eventually(t, "the leaving one is not named", func() bool { return nodes[0].serves(3) && nodes[3].serves(3) })
	nodes[2].stop()
	eventually(t, "the silent one is not named", func() bool { return nodes[0].serves(2) })
	_, count = nodes[0].roster.Position()
	assert.Equal(t, count, 4, "a silent entry still has its share")
}
