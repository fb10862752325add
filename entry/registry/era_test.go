package registry_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/registry"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// outageOfDrill is how the store is away before it comes back from a copy.
type outageOfDrill struct {
	name   string
	outage store.Outage
	away   time.Duration
	// silent reports whether calls that wait for changes are never answered.
	silent bool
}

var outagesOfDrills = []outageOfDrill{
	{
		name:   "silent",
		outage: store.OutageDrop,
		away:   600 * time.Millisecond,
		silent: true,
	},
	{
		name:   "refusing",
		outage: store.OutageRefuse,
		away:   600 * time.Millisecond,
	},
	{
		name: "resetting",
	},
	{
		name:   "lost calls only",
		silent: true,
	},
}

// heartbeat is the interval at which servers renew their registrations.
const heartbeat = 1500 * time.Millisecond

// drill lets the store be away and come back from a copy.
func (r *recordingRegistry) drill(kind outageOfDrill, from store.Copy) {
	r.store.SetFault(store.Fault{
		Outage: kind.outage,
	})
	time.Sleep(kind.away)
	r.store.RestoreCopy(from, kind.silent)
	r.store.SetFault(store.Fault{})
}

// TestChangesAfterReturnFromCopyAreApplied guards against a configuration and other rows that no
// entry ever applies, because their versions were given out before the store came back from a
// copy, in its era before. The number of rows written after the return puts the version of the
// configuration below the known one, at it and above it.
func TestChangesAfterReturnFromCopyAreApplied(t *testing.T) {
	const lostRows = 6
	for _, kind := range outagesOfDrills {
		for _, drills := range []int{1, 2} {
			for _, written := range []int{0, lostRows - 2, lostRows - 1, lostRows, 3 * lostRows} {
				t.Run(fmt.Sprintf("%s, %d drills, %d rows", kind.name, drills, written), func(t *testing.T) {
					testRegistry(t, func(t *testing.T, r *recordingRegistry) {
						r.runWithTwoServers()
						for drill := range drills {
							copied := r.store.TakeCopy()
							for i := range lostRows {
								r.putServer(fmt.Sprintf("lost-%d", i), "ready", 1)
							}
							r.putConfiguration(7 + 20*drill)
							time.Sleep(3 * time.Second)
							assert.Equal(t, r.configurationVersion(), uint64(7+20*drill))
							r.drill(kind, copied)
							for i := range written {
								r.putServer(fmt.Sprintf("lost-%d", i%lostRows), "ready", 2+i)
							}
							r.store.RemoveRow(platform.ServerTable, "b")
							r.store.PutRow(platform.OperatorTable, "evacuate/north-a", []byte("{}"))
							r.putConfiguration(12 + 20*drill)
							// Calls that were lost end by their timeout.
							time.Sleep(r.MaxLag() + callBound)
							synctest.Wait()
							assert.Equal(t, r.configurationVersion(), uint64(12+20*drill))
							assert.DeepEqual(t, r.evacuated(), []string{"north-a"})
							// Missing registrations are doubtful for a while.
							time.Sleep(3 * time.Second)
							registered, _, _ := r.serverState("b")
							assert.Assert(t, !registered)
							for i := range lostRows {
								registered, _, _ := r.serverState(fmt.Sprintf("lost-%d", i))
								assert.Equal(t, registered, i < written, "server %d", i)
							}
							r.putServer("b", "ready", 1)
							r.store.RemoveRow(platform.OperatorTable, "evacuate/north-a")
							time.Sleep(3 * time.Second)
						}
					})
				})
			}
		}
	}
}

// TestServersStayUntilTheyRegisterAgain guards against a service without servers after the store
// came back from a copy older than their registrations, where no call of the store failed. A
// server that does not register again is removed.
func TestServersStayUntilTheyRegisterAgain(t *testing.T) {
	for _, kind := range outagesOfDrills {
		t.Run(kind.name, func(t *testing.T) {
			// The return comes at different moments of the pause between two calls.
			for offset := time.Duration(0); offset < 2*time.Second; offset += 170 * time.Millisecond {
				testRegistry(t, func(t *testing.T, r *recordingRegistry) {
					r.runWithTwoServers()
					copied := r.store.TakeCopy()
					r.putServer("alive", "ready", 1)
					r.putServer("gone", "ready", 1)
					time.Sleep(3*time.Second + offset)
					r.drill(kind, copied)
					for end := time.Now().Add(heartbeat); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						registered, _, _ := r.serverState("alive")
						assert.Assert(t, registered, "offset %s", offset)
					}
					r.putServer("alive", "ready", 2)
					time.Sleep(r.MaxLag() + 2*time.Second + pollPause + callBound)
					synctest.Wait()
					registered, _, doubtful := r.serverState("alive")
					assert.Assert(t, registered && !doubtful, "offset %s", offset)
					registered, _, _ = r.serverState("gone")
					assert.Assert(t, !registered, "offset %s", offset)
				})
			}
		})
	}
}

// TestOlderRegistrationsTakeNothingBack guards against requests to servers that are draining or
// have left, because the store came back from a copy in which they are ready, and to servers that
// have just started as if they were the start before, which was warm. A server that lives is used
// again although its row in the copy is older than its removal, and one that started again counts
// from the start.
func TestOlderRegistrationsTakeNothingBack(t *testing.T) {
	for _, kind := range outagesOfDrills {
		for _, drills := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d drills", kind.name, drills), func(t *testing.T) {
				testRegistry(t, func(t *testing.T, r *recordingRegistry) {
					r.runWithTwoServers()
					for _, id := range []string{"draining", "left", "expired", "restarted", "started"} {
						r.putIncarnation(id, "ready", 1, 1000)
					}
					copied := r.store.TakeCopy()
					time.Sleep(2 * time.Second)
					r.putIncarnation("draining", "draining", 5, 1000)
					r.putIncarnation("restarted", "ready", 5, 1000)
					r.putIncarnation("started", "ready", 1, 3000)
					r.store.RemoveRow(platform.ServerTable, "left")
					r.store.RemoveRow(platform.ServerTable, "expired")
					time.Sleep(3 * time.Second)
					check := func() {
						_, draining, _ := r.serverState("draining")
						assert.Assert(t, draining)
						registered, _, _ := r.serverState("left")
						assert.Assert(t, !registered)
						registered, _, _ = r.serverState("restarted")
						assert.Assert(t, registered)
						assert.Equal(t, r.serverStart("started"), int64(3000))
					}
					check()
					for range drills {
						r.drill(kind, copied)
						for end := time.Now().Add(heartbeat); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							check()
						}
					}
					r.putIncarnation("draining", "draining", 6, 1000)
					r.store.RemoveRow(platform.ServerTable, "left")
					r.putIncarnation("restarted", "ready", 1, 2000)
					r.putIncarnation("started", "ready", 2, 3000)
					time.Sleep(r.MaxLag() + pollPause + callBound)
					check()
					assert.Equal(t, r.serverStart("restarted"), int64(2000))
					for end := time.Now().Add(2*time.Second + 3*heartbeat + r.MaxLag()); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						check()
					}
					synctest.Wait()
					registered, _, _ := r.serverState("expired")
					assert.Assert(t, registered)
				})
			})
		}
	}
}

// TestEvacuationsOutlastReturnFromCopy guards against requests to an evacuated failure domain
// because the store came back from a copy older than the evacuation. One that operators don't
// write again ends, and one that the copy has although it was taken back holds until that is
// written again.
func TestEvacuationsOutlastReturnFromCopy(t *testing.T) {
	const (
		rewritten = "evacuate/north-a"
		forgotten = "evacuate/north-b"
		takenBack = "evacuate/north-c"
	)
	for _, kind := range outagesOfDrills {
		for _, drills := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d drills", kind.name, drills), func(t *testing.T) {
				testRegistry(t, func(t *testing.T, r *recordingRegistry) {
					r.store.PutRow(platform.OperatorTable, takenBack, []byte("{}"))
					r.runWithTwoServers()
					copied := r.store.TakeCopy()
					r.store.PutRow(platform.OperatorTable, rewritten, []byte("{}"))
					r.store.PutRow(platform.OperatorTable, forgotten, []byte("{}"))
					r.store.RemoveRow(platform.OperatorTable, takenBack)
					r.putConfiguration(7)
					time.Sleep(3 * time.Second)
					assert.DeepEqual(t, r.evacuated(), []string{"north-a", "north-b"})
					// Operators need some seconds.
					for range drills {
						r.drill(kind, copied)
						for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							assert.Assert(t, slices.Contains(r.evacuated(), "north-a"))
							assert.Assert(t, slices.Contains(r.evacuated(), "north-b"))
						}
					}
					snapshot, _ := r.Snapshot()
					assert.Equal(t, len(snapshot.Operators.Rows), 4, "a configuration and three evacuations")
					assert.Assert(t, strings.Contains(string(snapshot.Operators.Rows[0].Value), `"version":7,`))
					r.store.PutRow(platform.OperatorTable, rewritten, []byte("{}"))
					r.store.RemoveRow(platform.OperatorTable, takenBack)
					time.Sleep(10*time.Second + r.MaxLag())
					synctest.Wait()
					assert.DeepEqual(t, r.evacuated(), []string{"north-a"})
					assert.Equal(t, r.configurationVersion(), uint64(7))
					r.store.RemoveRow(platform.OperatorTable, rewritten)
					time.Sleep(r.MaxLag())
					assert.Equal(t, len(r.evacuated()), 0)
				})
			})
		}
	}
}

// TestRegistrationsAreUnconfirmedAfterReturn guards against servers that get requests as if they
// were warm, because registrations count as complete that the store has just lost.
func TestRegistrationsAreUnconfirmedAfterReturn(t *testing.T) {
	for _, kind := range outagesOfDrills {
		t.Run(kind.name, func(t *testing.T) {
			testRegistry(t, func(t *testing.T, r *recordingRegistry) {
				r.runWithTwoServers()
				time.Sleep(5 * time.Second)
				r.drill(kind, r.store.TakeCopy())
				returned := time.Now()
				for time.Since(returned) < 10*time.Second {
					time.Sleep(20 * time.Millisecond)
					confirmed := r.lastConfirmed().Sub(returned)
					assert.Assert(t, confirmed < 0 || confirmed >= 2*time.Second, "confirmed %s after the return", confirmed)
				}
				synctest.Wait()
				assert.Assert(t, time.Since(r.lastConfirmed()) < 3*time.Second)
			})
		})
	}
}

// TestSnapshotOfAnEarlierEraIsReplaced guards against registrations that an entry takes from
// another one while the store is away, and that keep those of the store away, because their
// versions are of an earlier era and higher.
func TestSnapshotOfAnEarlierEraIsReplaced(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		copied := r.store.TakeCopy()
		r.putServer("b", "ready", 1)
		for sequence := range 20 {
			r.putServer("a", "ready", 1+sequence)
		}
		r.putConfiguration(4)
		r.run()
		time.Sleep(100 * time.Millisecond)
		starting := newRecordingRegistry(r.store)
		defer starting.stop()
		starting.SnapshotSources = func() []func(context.Context) (registry.Snapshot, error) {
			return []func(context.Context) (registry.Snapshot, error){
				func(context.Context) (registry.Snapshot, error) {
					snapshot, _ := r.Snapshot()
					return snapshot, nil
				},
			}
		}
		r.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		starting.run()
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, starting.Loaded())
		r.store.RestoreCopy(copied, true)
		r.putConfiguration(4)
		r.putServer("a", "draining", 21)
		r.store.SetFault(store.Fault{})
		time.Sleep(5 * time.Second)
		_, draining, _ := starting.serverState("a")
		assert.Assert(t, draining)
		registered, _, _ := starting.serverState("b")
		assert.Assert(t, !registered)
	})
}
