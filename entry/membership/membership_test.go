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

func TestNoFlappingAtThirtyPercentLoss(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			var group sync.WaitGroup
			net := newNetwork(seed)
			net.loss = 0.3 / 2 // a heartbeat is lost with its request or its answer
			nodes := net.startAll(t, &group, today())
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

func TestDeadPeerDistinguishedFromPartitionedDomain(t *testing.T) {
	cases := []struct {
		name string
		// broken is what happens to entry-3 (alone in b) or domain a.
		broken func(net *network, nodes []*node)
		listed func(string) (bool, bool)
		about  string
		want   State
	}{
		{
			name:   "single-entry-killed",
			broken: func(net *network, nodes []*node) { net.kill(nodes[2]) },
			about:  "entry-3",
			want:   Dead,
		},
		{
			name:   "single-entry-killed-list-lags",
			broken: func(net *network, nodes []*node) { net.kill(nodes[2]) },
			listed: func(string) (bool, bool) { return false, true },
			about:  "entry-3",
			want:   Partitioned,
		},
		{
			name: "single-entry-cut-from-one",
			broken: func(net *network, _ []*node) {
				net.setCut(func(from, to *teaselv1.Member) bool {
					return from.GetFailureDomain() == "b" && to.GetFailureDomain() == "f" ||
						from.GetFailureDomain() == "f" && to.GetFailureDomain() == "b"
				})
			},
			about: "entry-3",
			want:  Partitioned,
		},
		{
			name: "domain-of-two-cut",
			broken: func(net *network, _ []*node) {
				net.setCut(func(from, to *teaselv1.Member) bool {
					return (from.GetFailureDomain() == "a") != (to.GetFailureDomain() == "a")
				})
			},
			about: "entry-1",
			want:  Partitioned,
		},
		{
			name:   "one-of-two-killed",
			broken: func(net *network, nodes []*node) { net.kill(nodes[0]) },
			listed: func(string) (bool, bool) { return false, true },
			about:  "entry-1",
			want:   Dead,
		},
		{
			name: "list-lies-about-a-living-one",
			broken: func(*network, []*node) {
			},
			listed: func(string) (bool, bool) { return true, true },
			about:  "entry-1",
			want:   Alive,
		},
		{
			name: "observer-itself-cut-off",
			broken: func(net *network, _ []*node) {
				net.setCut(func(from, to *teaselv1.Member) bool {
					return (from.GetFailureDomain() == "f") != (to.GetFailureDomain() == "f")
				})
			},
			about: "entry-3",
			want:  Partitioned,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var group sync.WaitGroup
				net := newNetwork(1, WithVMStatus(test.listed))
				nodes := net.startAll(t, &group, today())
				time.Sleep(5 * time.Second)
				test.broken(net, nodes)
				time.Sleep(10 * time.Second)
				assert.Equal(t, state(nodes[6], test.about), test.want)
				net.setCut(func(_, _ *teaselv1.Member) bool { return false })
				for _, node := range nodes {
					node.stop()
				}
				group.Wait()
			})
		})
	}
}

func TestReplacementVMAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		net := newNetwork(1)
		nodes := net.startAll(t, &group, today())
		time.Sleep(5 * time.Second)
		net.kill(nodes[2])
		next := member("entry-3", "b", 3)
		next.Incarnation = 7
		replaced := net.start(t, &group, next, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(2 * time.Second)
		for _, node := range nodes[3:] {
			peer, _ := node.roster.Peer("entry-3")
			assert.Equal(t, peer.Member.GetIncarnation(), uint64(7))
			assert.Equal(t, peer.State, Alive)
		}
		assert.Equal(t, len(replaced.roster.AliveMembers()), 6)
		replaced.stop()
		for _, node := range nodes {
			node.stop()
		}
		group.Wait()
	})
}

func TestOlderProcessNotifiedWhenSeatTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		superseded := make(chan uint64, 64)
		net := newNetwork(1)
		nodes := net.startAll(t, &group, today())
		net.options = []Option{WithSuperseded(func(incarnation uint64) {
			select {
			case superseded <- incarnation:
			default:
			}
		})}
		// The older process is at another address, so that both run on.
		older := member("entry-9", "b", 9)
		newer := member("entry-9", "b", 10)
		newer.Incarnation = 2
		first := net.start(t, &group, older, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(3 * time.Second)
		second := net.start(t, &group, newer, []string{nodes[0].member.GetPeerAddress()})
		time.Sleep(3 * time.Second)
		for _, node := range append(nodes, first, second) {
			defer node.stop()
		}
		assert.Assert(t, len(superseded) > 0, "the older process was not told")
		assert.Equal(t, <-superseded, uint64(2))
		for _, node := range append(nodes, first, second) {
			node.stop()
		}
		group.Wait()
	})
}

func TestMemberRecordsConvergeThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		net := newNetwork(1, WithMeshLimit(4))
		nodes := net.fleet(t, &group, 6, 5)
		time.Sleep(90 * time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.roster.AliveMembers()), len(nodes)-1, node.member.GetName())
		}
		victim := nodes[12]
		net.kill(victim)
		time.Sleep(30 * time.Second)
		for _, node := range nodes {
			if node != victim {
				assert.Equal(t, state(node, victim.member.GetName()), Dead, node.member.GetName())
			}
		}
		net.setCut(func(from, to *teaselv1.Member) bool {
			return (from.GetFailureDomain() == "domain-4") != (to.GetFailureDomain() == "domain-4")
		})
		time.Sleep(60 * time.Second)
		for _, node := range nodes {
			if node != victim && node.member.GetFailureDomain() != "domain-4" {
				assert.Equal(t, state(node, "entry-21"), Partitioned, node.member.GetName())
			}
		}
		net.setCut(func(_, _ *teaselv1.Member) bool { return false })
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
