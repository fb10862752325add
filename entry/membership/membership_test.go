package membership

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

// TestPeersStayAliveDespiteHeartbeatLoss checks that no entry changes the state of any
// peer while 15% of the messages are lost, and with them about 28% of the heartbeats.
func TestPeersStayAliveDespiteHeartbeatLoss(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			var group sync.WaitGroup
			network := newTestNetwork(seed)
			network.loss = 0.3 / 2 // a heartbeat fails if its request or its response is lost
			nodes := network.startNodes(t, &group, sevenMembers())
			time.Sleep(5 * time.Second)
			eventsBefore := make([]int, len(nodes))
			for i, node := range nodes {
				events, _ := node.events.Select(timeline.Filter{})
				eventsBefore[i] = len(events)
			}
			time.Sleep(10 * time.Minute)
			for i, node := range nodes {
				events, _ := node.events.Select(timeline.Filter{})
				assert.Equal(t, len(events), eventsBefore[i], "seed %d: %v", seed, events)
			}
			for _, node := range nodes {
				node.stop()
			}
			group.Wait()
		})
	}
}

// TestDeadPeerDistinguishedFromPartitionedDomain injects a fault and checks the state in
// which the only entry in failure domain f then sees a peer. entry-1 has entry-2 beside
// it in domain a, and entry-3 is alone in domain b.
func TestDeadPeerDistinguishedFromPartitionedDomain(t *testing.T) {
	cases := []struct {
		name string
		// inject injects the fault, if any.
		inject func(network *testNetwork, nodes []*node)
		// vmStatus reports whether an entry's VM is gone and whether the platform's list of
		// VMs has it at all, see WithVMStatus; nil stands for no list.
		vmStatus func(string) (bool, bool)
		// peer is the name of the peer, and want its expected state.
		peer string
		want State
	}{
		{
			name:   "single-entry-killed",
			inject: func(network *testNetwork, nodes []*node) { network.kill(nodes[2]) },
			peer:   "entry-3",
			want:   Dead,
		},
		{
			name:     "single-entry-killed-vm-list-lags",
			inject:   func(network *testNetwork, nodes []*node) { network.kill(nodes[2]) },
			vmStatus: func(string) (bool, bool) { return false, true },
			peer:     "entry-3",
			want:     Partitioned,
		},
		{
			name: "single-entry-partitioned-from-one-domain",
			inject: func(network *testNetwork, _ []*node) {
				network.setPartition(func(from, to *teaselv1.Member) bool {
					return from.GetFailureDomain() == "b" && to.GetFailureDomain() == "f" ||
						from.GetFailureDomain() == "f" && to.GetFailureDomain() == "b"
				})
			},
			peer: "entry-3",
			want: Partitioned,
		},
		{
			name: "domain-of-two-partitioned",
			inject: func(network *testNetwork, _ []*node) {
				network.setPartition(func(from, to *teaselv1.Member) bool {
					return (from.GetFailureDomain() == "a") != (to.GetFailureDomain() == "a")
				})
			},
			peer: "entry-1",
			want: Partitioned,
		},
		{
			name:     "one-of-two-killed",
			inject:   func(network *testNetwork, nodes []*node) { network.kill(nodes[0]) },
			vmStatus: func(string) (bool, bool) { return false, true },
			peer:     "entry-1",
			want:     Dead,
		},
		{
			name: "vm-list-wrong-about-running-entry",
			inject: func(*testNetwork, []*node) {
			},
			vmStatus: func(string) (bool, bool) { return true, true },
			peer:     "entry-1",
			want:     Alive,
		},
		{
			name: "observer-itself-partitioned",
			inject: func(network *testNetwork, _ []*node) {
				network.setPartition(func(from, to *teaselv1.Member) bool {
					return (from.GetFailureDomain() == "f") != (to.GetFailureDomain() == "f")
				})
			},
			peer: "entry-3",
			want: Partitioned,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var group sync.WaitGroup
				network := newTestNetwork(1, WithVMStatus(test.vmStatus))
				nodes := network.startNodes(t, &group, sevenMembers())
				time.Sleep(5 * time.Second)
				test.inject(network, nodes)
				time.Sleep(10 * time.Second)
				assert.Equal(t, peerState(nodes[6], test.peer), test.want)
				network.setPartition(func(_, _ *teaselv1.Member) bool { return false })
				for _, node := range nodes {
					node.stop()
				}
				group.Wait()
			})
		})
	}
}

// TestWatchDead guards against relays that are not told, or told twice, of a dead peer.
func TestWatchDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		network := newTestNetwork(1)
		nodes := network.startNodes(t, &group, sevenMembers())
		time.Sleep(5 * time.Second)
		var watched, stopped, late int
		nodes[6].roster.WatchDead("entry-3", func() { watched++ })
		nodes[6].roster.WatchDead("entry-3", func() { stopped++ })()
		network.kill(nodes[2]) // entry-3
		time.Sleep(3 * time.Second)
		assert.Equal(t, watched, 0)
		time.Sleep(10 * time.Second)
		nodes[6].roster.WatchDead("entry-3", func() { late++ })
		assert.DeepEqual(t, []int{watched, stopped, late}, []int{1, 0, 1})
		for _, node := range nodes {
			node.stop()
		}
		group.Wait()
	})
}

// TestPeersAcceptNewIncarnationAtSameAddress checks that peers accept a killed entry when
// it is restarted at the same address with a higher incarnation.
func TestPeersAcceptNewIncarnationAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		network := newTestNetwork(1)
		nodes := network.startNodes(t, &group, sevenMembers())
		time.Sleep(5 * time.Second)
		network.kill(nodes[2]) // entry-3
		replacementMember := newMember("entry-3", "b", 3)
		replacementMember.Incarnation = 7
		replacement := network.startNode(t, &group, replacementMember, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(2 * time.Second)
		for _, node := range nodes[3:] { // entry-4 to entry-7
			peer, _ := node.roster.Peer("entry-3")
			assert.Equal(t, peer.Member.GetIncarnation(), uint64(7))
			assert.Equal(t, peer.State, Alive)
		}
		assert.Equal(t, len(replacement.roster.AliveMembers()), 6)
		replacement.stop()
		for _, node := range nodes {
			node.stop()
		}
		group.Wait()
	})
}

// TestOlderProcessOfSameEntryIsNotified checks that of two processes with the same entry
// name, the older is notified of the incarnation of the newer.
func TestOlderProcessOfSameEntryIsNotified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		superseded := make(chan uint64, 64)
		network := newTestNetwork(1)
		nodes := network.startNodes(t, &group, sevenMembers())
		network.options = []Option{WithSuperseded(func(incarnation uint64) {
			select {
			case superseded <- incarnation:
			default:
			}
		})}
		// The processes have different addresses, because the test network delivers
		// messages only to the newest process at an address.
		olderMember := newMember("entry-9", "b", 9)
		newerMember := newMember("entry-9", "b", 10)
		newerMember.Incarnation = 2
		olderNode := network.startNode(t, &group, olderMember, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(3 * time.Second)
		newerNode := network.startNode(t, &group, newerMember, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(3 * time.Second)
		for _, node := range append(nodes, olderNode, newerNode) {
			defer node.stop() // in case an assertion fails
		}
		assert.Assert(t, len(superseded) > 0, "the older process was not notified")
		assert.Equal(t, <-superseded, uint64(2))
		for _, node := range append(nodes, olderNode, newerNode) {
			node.stop()
		}
		group.Wait()
	})
}

// TestMemberRecordsConvergeThroughRelays checks a network of more entries than form a
// full mesh, which exchange heartbeats with other failure domains only through relays.
// All entries must see all others alive and then one of them dead. The entries outside a
// partitioned failure domain must see it partitioned, and all entries must see each other
// alive after the partition.
func TestMemberRecordsConvergeThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		network := newTestNetwork(1, WithMeshLimit(4))
		nodes := network.startDomains(t, &group, 6, 5)
		time.Sleep(90 * time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.roster.AliveMembers()), len(nodes)-1, node.member.GetName())
		}
		victim := nodes[12] // in domain-2
		network.kill(victim)
		time.Sleep(30 * time.Second)
		for _, node := range nodes {
			if node != victim {
				assert.Equal(t, peerState(node, victim.member.GetName()), Dead, node.member.GetName())
			}
		}
		network.setPartition(func(from, to *teaselv1.Member) bool {
			return (from.GetFailureDomain() == "domain-4") != (to.GetFailureDomain() == "domain-4")
		})
		time.Sleep(60 * time.Second) // longer than domainTimeoutIntervals, which are 30 s
		for _, node := range nodes {
			if node != victim && node.member.GetFailureDomain() != "domain-4" {
				// entry-21 is the first entry of domain-4.
				assert.Equal(t, peerState(node, "entry-21"), Partitioned, node.member.GetName())
			}
		}
		network.setPartition(func(_, _ *teaselv1.Member) bool { return false })
		time.Sleep(60 * time.Second)
		for _, node := range nodes {
			if node != victim {
				assert.Equal(t, len(node.roster.AliveMembers()), len(nodes)-2, node.member.GetName())
			}
			node.stop()
		}
		group.Wait()
	})
}
