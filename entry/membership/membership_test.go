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

// TestPeersStayAliveAtThirtyPercentLoss checks that no entry changes the state of any
// peer while 30% of the heartbeats are lost.
func TestPeersStayAliveAtThirtyPercentLoss(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			var group sync.WaitGroup
			network := newTestNetwork(seed)
			network.loss = 0.3 / 2 // a heartbeat fails if its request or its response is lost
			nodes := network.startNodes(t, &group, sevenMembers())
			time.Sleep(5 * time.Second)
			before := make([]int, len(nodes))
			for i, node := range nodes {
				events, _ := node.events.Select(timeline.Filter{})
				before[i] = len(events)
			}
			time.Sleep(10 * time.Minute)
			for i, node := range nodes {
				events, _ := node.events.Select(timeline.Filter{})
				assert.Equal(t, len(events), before[i], "seed %d: %v", seed, events)
			}
			for _, node := range nodes {
				node.stop()
			}
			group.Wait()
		})
	}
}

// TestDeadPeerDistinguishedFromPartitionedDomain injects a fault and checks the state in
// which the entry in failure domain f then sees a peer.
func TestDeadPeerDistinguishedFromPartitionedDomain(t *testing.T) {
	cases := []struct {
		name string
		// inject kills entry-3, the only one in domain b, or entry-1 in domain a, or
		// partitions domains.
		inject   func(network *testNetwork, nodes []*node)
		vmStatus func(string) (bool, bool)
		observed string
		want     State
	}{
		{
			name:     "single-entry-killed",
			inject:   func(network *testNetwork, nodes []*node) { network.kill(nodes[2]) },
			observed: "entry-3",
			want:     Dead,
		},
		{
			name:     "single-entry-killed-vm-list-lags",
			inject:   func(network *testNetwork, nodes []*node) { network.kill(nodes[2]) },
			vmStatus: func(string) (bool, bool) { return false, true },
			observed: "entry-3",
			want:     Partitioned,
		},
		{
			name: "single-entry-partitioned-from-one-domain",
			inject: func(network *testNetwork, _ []*node) {
				network.setBlocked(func(from, to *teaselv1.Member) bool {
					return from.GetFailureDomain() == "b" && to.GetFailureDomain() == "f" ||
						from.GetFailureDomain() == "f" && to.GetFailureDomain() == "b"
				})
			},
			observed: "entry-3",
			want:     Partitioned,
		},
		{
			name: "domain-of-two-partitioned",
			inject: func(network *testNetwork, _ []*node) {
				network.setBlocked(func(from, to *teaselv1.Member) bool {
					return (from.GetFailureDomain() == "a") != (to.GetFailureDomain() == "a")
				})
			},
			observed: "entry-1",
			want:     Partitioned,
		},
		{
			name:     "one-of-two-killed",
			inject:   func(network *testNetwork, nodes []*node) { network.kill(nodes[0]) },
			vmStatus: func(string) (bool, bool) { return false, true },
			observed: "entry-1",
			want:     Dead,
		},
		{
			name: "vm-list-wrong-about-running-entry",
			inject: func(*testNetwork, []*node) {
			},
			vmStatus: func(string) (bool, bool) { return true, true },
			observed: "entry-1",
			want:     Alive,
		},
		{
			name: "observer-itself-partitioned",
			inject: func(network *testNetwork, _ []*node) {
				network.setBlocked(func(from, to *teaselv1.Member) bool {
					return (from.GetFailureDomain() == "f") != (to.GetFailureDomain() == "f")
				})
			},
			observed: "entry-3",
			want:     Partitioned,
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
				assert.Equal(t, peerState(nodes[6], test.observed), test.want)
				network.setBlocked(func(_, _ *teaselv1.Member) bool { return false })
				for _, node := range nodes {
					node.stop()
				}
				group.Wait()
			})
		})
	}
}

// TestPeersAcceptNewIncarnationAtSameAddress checks that peers accept a new incarnation
// of a killed entry that starts at the old address.
func TestPeersAcceptNewIncarnationAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		network := newTestNetwork(1)
		nodes := network.startNodes(t, &group, sevenMembers())
		time.Sleep(5 * time.Second)
		network.kill(nodes[2])
		replacementMember := newMember("entry-3", "b", 3)
		replacementMember.Incarnation = 7
		replacement := network.startNode(t, &group, replacementMember, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(2 * time.Second)
		for _, node := range nodes[3:] {
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
		// The processes have different addresses, so that both keep running.
		older := newMember("entry-9", "b", 9)
		newer := newMember("entry-9", "b", 10)
		newer.Incarnation = 2
		olderNode := network.startNode(t, &group, older, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(3 * time.Second)
		newerNode := network.startNode(t, &group, newer, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(3 * time.Second)
		for _, node := range append(nodes, olderNode, newerNode) {
			defer node.stop()
		}
		assert.Assert(t, len(superseded) > 0, "the older process was not notified")
		assert.Equal(t, <-superseded, uint64(2))
		for _, node := range append(nodes, olderNode, newerNode) {
			node.stop()
		}
		group.Wait()
	})
}

// TestMemberRecordsConvergeThroughRelays checks that all entries of a fleet above the
// mesh limit see the same members, the death of one, and the partition and return of a
// failure domain.
func TestMemberRecordsConvergeThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		network := newTestNetwork(1, WithMeshLimit(4))
		nodes := network.startFleet(t, &group, 6, 5)
		time.Sleep(90 * time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.roster.AliveMembers()), len(nodes)-1, node.member.GetName())
		}
		victim := nodes[12]
		network.kill(victim)
		time.Sleep(30 * time.Second)
		for _, node := range nodes {
			if node != victim {
				assert.Equal(t, peerState(node, victim.member.GetName()), Dead, node.member.GetName())
			}
		}
		network.setBlocked(func(from, to *teaselv1.Member) bool {
			return (from.GetFailureDomain() == "domain-4") != (to.GetFailureDomain() == "domain-4")
		})
		time.Sleep(60 * time.Second)
		for _, node := range nodes {
			if node != victim && node.member.GetFailureDomain() != "domain-4" {
				assert.Equal(t, peerState(node, "entry-21"), Partitioned, node.member.GetName())
			}
		}
		network.setBlocked(func(_, _ *teaselv1.Member) bool { return false })
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
