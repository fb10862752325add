package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// newSuspectSite starts entries in three regions, without servers.
func newSuspectSite(t *testing.T, entries int, busyServers uint32) *platformSite {
	t.Helper()
	return newPlatformSite(t, &platformSite{
		regions:     3,
		busyServers: busyServers,
	}, entries, 0)
}

// crashThree records that a request made three servers fail, each while another entry's
// request ran there.
func (s *platformSite) crashThree(digest quarantine.Digest) {
	for index := range 3 {
		s.nodes[index].suspects.RecordFailure(digest, "desk", fmt.Sprintf("i-%010d@1764930000000", index))
	}
}

// assertQuarantined checks that each entry refuses a request.
func (s *platformSite) assertQuarantined(t *testing.T, digest quarantine.Digest) {
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
		s := newSuspectSite(t, 7, 400)
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
		s := newSuspectSite(t, 7, 0)
		s.crashThree(crashingDigest)
		time.Sleep(30 * time.Second)
		s.restartInTurn(func() { s.assertQuarantined(t, crashingDigest) })
	})
}

// TestQuarantineOutlivesAllEntries guards against retries of a request that has crashed
// three servers after all entries were killed at the same time, also repeatedly.
func TestQuarantineOutlivesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 0)
		s.crashThree(crashingDigest)
		time.Sleep(undisturbedWindow)
		for range 3 {
			s.restartAll()
			s.assertQuarantined(t, crashingDigest)
		}
	})
}

// TestSilentCrashesReachAllEntries guards against retries of a request that crashes servers
// in silence, each seen by another entry, some seconds before the servers are missed.
func TestSilentCrashesReachAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 0)
		lost := false
		for index := range 3 {
			s.nodes[index].suspects.RecordUnanswered(quarantine.Run{
				Request: quarantine.Request{
					Content: crashingDigest,
				},
				Server: fmt.Sprintf("i-%d@1", index),
			}, func() bool { return !lost })
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
		s := newSuspectSite(t, 300, 0)
		s.crashThree(crashingDigest)
		time.Sleep(undisturbedWindow)
		s.assertQuarantined(t, crashingDigest)
	})
}

// TestSuccessClearsSuspectAtAllEntries guards against the refusal of a request that ran well
// since servers failed with it: the success, long after the failures and seen by another entry,
// was not told to those that counted them.
func TestSuccessClearsSuspectAtAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 0)
		for index := range 2 {
			s.nodes[index].suspects.RecordFailure(crashingDigest, "desk", fmt.Sprintf("i-%d@1", index))
		}
		time.Sleep(30 * time.Second)
		s.nodes[2].suspects.RecordSuccess(crashingDigest)
		time.Sleep(30 * time.Second)
		s.nodes[3].suspects.RecordFailure(crashingDigest, "desk", "i-3@1")
		time.Sleep(undisturbedWindow)
		for index, n := range s.nodes {
			assert.Assert(t, !n.suspects.Quarantined(crashingDigest), "entry %d refuses the request", index)
		}
	})
}

// crashTwo records that a request made two servers fail, each while another entry's request ran
// there.
func (s *platformSite) crashTwo(digest quarantine.Digest) {
	for index := range 2 {
		s.nodes[index].suspects.RecordFailure(digest, "desk", fmt.Sprintf("i-%d@1", index))
	}
}

// TestStartingEntryLearnsSuspects guards against a request that crashes more servers than the
// quarantine allows, because the entries were restarted in turn after the first two.
func TestStartingEntryLearnsSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 0)
		s.crashTwo(crashingDigest)
		time.Sleep(30 * time.Second)
		s.restartInTurn(func() {})
		s.nodes[6].suspects.RecordFailure(crashingDigest, "desk", "i-2@1")
		time.Sleep(undisturbedWindow)
		s.assertQuarantined(t, crashingDigest)
	})
}

// TestSuspectsOutliveAllEntries guards against a request that crashes more servers than the
// quarantine allows, because all entries were killed at the same time after the first two, also
// repeatedly.
func TestSuspectsOutliveAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 0)
		s.crashTwo(crashingDigest)
		time.Sleep(undisturbedWindow)
		for range 3 {
			s.restartAll()
		}
		s.nodes[6].suspects.RecordFailure(crashingDigest, "desk", "i-2@1")
		time.Sleep(undisturbedWindow)
		s.assertQuarantined(t, crashingDigest)
	})
}

// TestSuspectsOutliveReturnFromCopy guards against a request that crashes more servers than the
// quarantine allows, because the store lost the rows of the entries, or suspects in them, when it
// came back from a copy, and all entries were killed some seconds later.
func TestSuspectsOutliveReturnFromCopy(t *testing.T) {
	for _, drills := range []int{1, 2} {
		for _, silent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newSuspectSite(t, 7, 0)
				copied := s.store.TakeCopy()
				s.crashTwo(crashingDigest)
				time.Sleep(undisturbedWindow)
				for range drills {
					s.store.RestoreCopy(copied, silent)
					// An entry calls the store at least each minute.
					time.Sleep(time.Minute + 3*time.Second)
				}
				s.restartAll()
				s.nodes[6].suspects.RecordFailure(crashingDigest, "desk", "i-2@1")
				time.Sleep(undisturbedWindow)
				s.assertQuarantined(t, crashingDigest)
			})
		}
	}
}

// TestSingleFailuresOutliveAllEntries guards against a request that crashes more servers than the
// quarantine allows, because all entries were killed at the same time after each crash.
func TestSingleFailuresOutliveAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectSite(t, 7, 0)
		for index := range 3 {
			s.nodes[index].suspects.RecordFailure(crashingDigest, "desk", fmt.Sprintf("i-%d@1", index))
			time.Sleep(undisturbedWindow)
			s.restartAll()
		}
		s.assertQuarantined(t, crashingDigest)
	})
}

// TestClearedSuspectDoesNotOutliveEntries guards against the refusal of a request that crashes
// nothing: one that succeeded since two servers failed with it must not be suspect again after
// the entries were killed, in turn or at the same time.
func TestClearedSuspectDoesNotOutliveEntries(t *testing.T) {
	for _, inTurn := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSuspectSite(t, 7, 0)
			s.crashTwo(crashingDigest)
			time.Sleep(20 * time.Second)
			s.nodes[2].suspects.RecordSuccess(crashingDigest)
			time.Sleep(undisturbedWindow)
			if inTurn {
				s.restartInTurn(func() {})
			} else {
				s.restartAll()
			}
			s.nodes[6].suspects.RecordFailure(crashingDigest, "desk", "i-2@1")
			time.Sleep(undisturbedWindow)
			for index, n := range s.nodes {
				assert.Assert(t, !n.suspects.Quarantined(crashingDigest), "in turn %t: entry %d refuses the request", inTurn, index)
			}
		})
	}
}

// restartInTurn ends each entry and starts it again, and calls check once it has run for a while.
func (s *platformSite) restartInTurn(check func()) {
	for index := range s.nodes {
		s.stops[index]()
		time.Sleep(time.Second)
		s.start(index)
		time.Sleep(undisturbedWindow)
		check()
	}
}

// restartAll ends all entries at the same time and starts them again.
func (s *platformSite) restartAll() {
	s.stopAll()
	time.Sleep(2 * time.Second)
	for index := range s.nodes {
		s.start(index)
	}
	time.Sleep(undisturbedWindow)
}

// TestFailuresThatServersSurviveDoNotCount guards against the refusal of a request that crashes
// nothing: servers lost their answers to it and live on. It is refused until the registrations
// show that, also if the entries are restarted meanwhile, and not longer.
func TestFailuresThatServersSurviveDoNotCount(t *testing.T) {
	for _, test := range []struct {
		name    string
		restart bool
		// crash is set if the servers did crash, and start again.
		crash bool
	}{
		{
			name: "servers live",
		},
		{
			name:    "servers live, entries are restarted",
			restart: true,
		},
		{
			name:  "servers crash",
			crash: true,
		},
		{
			name:    "servers crash, entries are restarted",
			crash:   true,
			restart: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPlatformSite(t, &platformSite{
					regions: 3,
					slots:   3,
				}, 7, 6)
				for index := range 3 {
					s.nodes[index].suspects.RecordFailure(crashingDigest, "desk", fmt.Sprintf("i-%d@1", index))
				}
				if test.crash {
					time.Sleep(time.Second)
					for index := range 3 {
						s.register(index, 2)
					}
				}
				time.Sleep(undisturbedWindow)
				s.assertQuarantined(t, crashingDigest)
				if test.restart {
					s.restartAll()
				}
				time.Sleep(15 * time.Second)
				for index, n := range s.nodes {
					assert.Equal(t, n.suspects.Quarantined(crashingDigest), test.crash, "entry %d", index)
				}
				if test.crash {
					return
				}
				// Two servers fail with the request later: what they survived must not count.
				for index := 3; index < 5; index++ {
					s.nodes[index].suspects.RecordFailure(crashingDigest, "desk", fmt.Sprintf("i-%d@1", index))
				}
				time.Sleep(undisturbedWindow)
				for index, n := range s.nodes {
					assert.Assert(t, !n.suspects.Quarantined(crashingDigest), "entry %d refuses the request", index)
				}
			})
		})
	}
}

// crashSite is a platformSite whose servers crash, and start again, when they run one request.
type crashSite struct {
	*platformSite
	// crashing is cleared once the servers run that request as any other.
	crashing atomic.Bool
	// reached holds when it reached a server.
	reached []time.Time
	// onReach is called when it reaches a server.
	onReach func()
	sends   int
}

// newCrashSite starts entries and servers, and calls crashThree.
func newCrashSite(t *testing.T) *crashSite {
	t.Helper()
	s := &crashSite{
		onReach: func() {},
		platformSite: newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   3,
		}, 7, 9),
	}
	for index := range 9 {
		startUnixMS := int64(1)
		s.servers[fmt.Sprintf("10.9.0.%d:8080", index+1)].crash = func(request *http.Request) bool {
			if request.URL.Path != "/browse/crash" {
				return false
			}
			s.reached = append(s.reached, time.Now())
			s.onReach()
			if s.crashing.Load() {
				startUnixMS++
				s.register(index, startUnixMS)
			}
			return s.crashing.Load()
		}
	}
	s.crashThree()
	return s
}

// crashThree lets the request crash three servers.
func (s *crashSite) crashThree() {
	s.crashing.Store(true)
	for before := len(s.reached); len(s.reached) < before+3; {
		s.send()
	}
	time.Sleep(undisturbedWindow)
}

// send sends the request that crashes servers to the next entry, and returns the status of the
// response.
func (s *crashSite) send() int {
	request := httptest.NewRequest(http.MethodGet, "/browse/crash", http.NoBody)
	request.Host = "desk.example"
	request.Header.Set("X-Teaselstack-Request-Id", fmt.Sprintf("crash-%d", s.sends))
	request.Header.Set("X-Teaselstack-Deadline-Ms", "4000")
	response := httptest.NewRecorder()
	s.nodes[s.sends%len(s.nodes)].gateway.ServeHTTP(response, request)
	s.sends++
	return response.Code
}

// TestQuarantineOfLostServersEnds guards against the refusal of a request for ten minutes after
// three servers were lost together, with their failure domain for example, while they ran it. That
// happens twice.
func TestQuarantineOfLostServersEnds(t *testing.T) {
	for _, restart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newCrashSite(t)
			for range 2 {
				s.crashing.Store(false)
				assert.Equal(t, s.send(), http.StatusServiceUnavailable)
				if restart {
					s.restartAll()
				}
				// From here on the state is steady.
				time.Sleep(15 * time.Second)
				var statuses []int
				for range 3 * len(s.nodes) {
					statuses = append(statuses, s.send())
					time.Sleep(time.Second)
				}
				assert.Assert(t, !slices.Contains(statuses, http.StatusServiceUnavailable), "restart %t: %d", restart, statuses)
				s.crashThree()
			}
		})
	}
}

// TestTrialsOfCrashingRequestAreBounded guards against more than three retries of a request that
// crashes servers, later than the undisturbed window after it crashed the third, by trials of
// entries that don't know of each other's, also after restarts.
func TestTrialsOfCrashingRequestAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrashSite(t)
		for range 3 {
			for range 60 {
				s.send()
				time.Sleep(time.Second)
			}
			s.restartAll()
		}
		late := 0
		for _, at := range s.reached {
			if at.Sub(s.reached[2]) > undisturbedWindow {
				late++
			}
		}
		assert.Assert(t, late <= 3, "%d retries", late)
	})
}

// TestTrialsOutliveReturnFromCopy guards against more than three retries of a request that crashes
// servers, because the store lost the claim to its trial each time it came back from a copy.
func TestTrialsOutliveReturnFromCopy(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newCrashSite(t)
			copied := s.store.TakeCopy()
			sendFor := func(seconds int) {
				for range seconds {
					s.send()
					time.Sleep(time.Second)
				}
			}
			sendFor(60)
			tried := len(s.reached)
			assert.Equal(t, tried, 4, "there must have been one trial")
			for range 5 {
				s.store.RestoreCopy(copied, silent)
				sendFor(45)
			}
			assert.Equal(t, len(s.reached), tried, "silent %t", silent)
		})
	}
}

// TestEndedTrialStaysEndedAfterReturnFromCopy guards against the refusal of a request for ten
// minutes because the store came back from a copy with a claim to an earlier trial, which had
// succeeded and whose claim nobody holds any more.
func TestEndedTrialStaysEndedAfterReturnFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCrashSite(t)
		s.crashing.Store(false)
		var claimed store.Copy
		s.onReach = func() { claimed = s.store.TakeCopy() }
		for s.send() != http.StatusOK {
			time.Sleep(time.Second)
		}
		s.onReach = func() {}
		time.Sleep(20 * time.Second)
		s.store.RestoreCopy(claimed, false)
		time.Sleep(20 * time.Second)
		s.crashThree()
		s.crashing.Store(false)
		time.Sleep(15 * time.Second)
		for range 2 * len(s.nodes) {
			s.send()
			time.Sleep(time.Second)
		}
		assert.Equal(t, s.send(), http.StatusOK)
	})
}

// TestUnusedTrialIsLeftToOtherEntries guards against the refusal of a request for ten minutes
// because the entry that claimed its trial sent it to no server: it was stopping, for example. The
// store may fail for a moment then.
func TestUnusedTrialIsLeftToOtherEntries(t *testing.T) {
	for _, storeFails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newCrashSite(t)
			s.crashing.Store(false)
			stopping := s.nodes[0]
			now := time.Now()
			stopping.responsesDue.Store(&now)
			commits, commit := 0, stopping.trials.table.Commit
			stopping.trials.table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
				if commits++; storeFails && commits == 2 {
					return nil, errors.New("no answer")
				}
				return commit(ctx, writes)
			}
			time.Sleep(15 * time.Second)
			s.sends = 0
			assert.Equal(t, s.send(), http.StatusServiceUnavailable)
			time.Sleep(2 * withdrawInterval)
			s.stops[0]()
			assert.Equal(t, s.send(), http.StatusOK, "store fails %t", storeFails)
		})
	}
}

// TestCrashesBeforeOutageOfStoreCount guards against the end of a quarantine because the
// registrations of the servers that crashed were still there: the store had been away, and removed
// them some seconds after its return.
func TestCrashesBeforeOutageOfStoreCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPlatformSite(t, &platformSite{
			regions: 3,
			slots:   3,
		}, 7, 6)
		for index := range 3 {
			s.nodes[index].suspects.RecordFailure(crashingDigest, "desk", fmt.Sprintf("i-%d@1", index))
		}
		s.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		time.Sleep(9 * time.Second)
		s.store.SetFault(store.Fault{})
		// The rows lapse after three heartbeats.
		time.Sleep(5 * time.Second)
		for index := range 3 {
			s.store.RemoveRow(platform.ServerTable, fmt.Sprintf("i-%d", index))
		}
		time.Sleep(20 * time.Second)
		s.assertQuarantined(t, crashingDigest)
	})
}

// TestCrashesBeforeReturnFromCopyCount guards against the end of a quarantine because the
// registrations of the servers that crashed were still there: the store had come back from a
// copy, and removed them some seconds after that.
func TestCrashesBeforeReturnFromCopyCount(t *testing.T) {
	// The registrations of servers that are silent lapse after three heartbeats, counted anew from
	// two seconds after the return on.
	const lapse = 4500 * time.Millisecond
	for returnAfter := lapse - time.Second; returnAfter < lapse; returnAfter += 150 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := newPlatformSite(t, &platformSite{
				regions: 3,
				slots:   3,
			}, 7, 6)
			time.Sleep(10 * time.Second)
			for index := range 3 {
				s.nodes[index].suspects.RecordFailure(crashingDigest, "desk", fmt.Sprintf("i-%d@1", index))
			}
			copied := s.store.TakeCopy()
			time.Sleep(returnAfter)
			s.store.RestoreCopy(copied, false)
			time.Sleep(2*time.Second + lapse)
			for index := range 3 {
				s.store.RemoveRow(platform.ServerTable, fmt.Sprintf("i-%d", index))
			}
			time.Sleep(20 * time.Second)
			s.assertQuarantined(t, crashingDigest)
		})
	}
}
