package registry_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/teaselstack/teaselstack/entry/registry"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// pathState is the state of the path to the store or to a reader.
type pathState int32

const (
	// pathOpen means that calls are answered.
	pathOpen pathState = iota
	// pathRefusing means that calls fail at once.
	pathRefusing
	// pathSilent means that calls are never answered.
	pathSilent
)

// path is a path to the store or to a reader, whose state the test changes.
type path struct {
	state atomic.Int32
	// calls counts the calls that were made over the path.
	calls atomic.Int64
}

func (p *path) set(state pathState) { p.state.Store(int32(state)) }

// errRefused is the failure of a call over a path that refuses.
var errRefused = errors.New("refused")

// pass waits until a call may pass, which is at once or never.
func (p *path) pass(ctx context.Context) error {
	p.calls.Add(1)
	switch pathState(p.state.Load()) {
	case pathRefusing:
		return errRefused
	case pathSilent:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// pathTransport is an http.RoundTripper over a path. An answer to a call that was made before
// the path became silent is lost.
type pathTransport struct {
	path *path
	next http.RoundTripper
}

func (p pathTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := p.path.pass(request.Context()); err != nil {
		return nil, err
	}
	response, err := p.next.RoundTrip(request)
	if pathState(p.path.state.Load()) == pathSilent {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return response, err
}

// relayTest is a reader and an entry that it reads for, the follower.
type relayTest struct {
	reader, follower *recordingRegistry
	// readerStore and followerStore are the paths to the store, and toReader is the path from
	// the follower to the reader.
	readerStore, followerStore, toReader path
	versions                             int
	// copied is the store's state before the last call of change.
	copied store.Copy
}

// pollPause is the ServerPollPause of the registries, and callBound bounds one call of the
// store, which answers at once in these tests. A follower learns of a change within both.
const (
	pollPause = time.Second
	callBound = 100 * time.Millisecond
)

// newRelayTest returns a reader and a follower that have read a configuration and the servers
// a and b.
func newRelayTest() *relayTest {
	server := store.New()
	r := &relayTest{
		reader:   newRecordingRegistry(server),
		follower: newRecordingRegistry(server),
	}
	for _, side := range []struct {
		registry *recordingRegistry
		path     *path
	}{
		{
			registry: r.reader,
			path:     &r.readerStore,
		},
		{
			registry: r.follower,
			path:     &r.followerStore,
		},
	} {
		for _, client := range []*platform.Client{side.registry.OperatorStore, side.registry.ServerStore} {
			client.HTTPClient.Transport = pathTransport{
				path: side.path,
				next: client.HTTPClient.Transport,
			}
		}
	}
	r.reader.FindReader = func() (registry.Reader, bool) { return nil, true }
	r.follower.FindReader = func() (registry.Reader, bool) { return r.askReader, false }
	r.reader.runWithTwoServers()
	r.follower.run()
	time.Sleep(10 * time.Second)
	return r
}

// askReader asks the reader over the path to it.
func (r *relayTest) askReader(ctx context.Context, table string, after platform.Position, wait time.Duration) (registry.Changes, error) {
	if err := r.toReader.pass(ctx); err != nil {
		return registry.Changes{}, err
	}
	changes, err := r.reader.Changes(ctx, table, after, wait)
	if pathState(r.toReader.state.Load()) == pathSilent {
		<-ctx.Done()
		return registry.Changes{}, ctx.Err()
	}
	return changes, err
}

func (r *relayTest) stop() {
	r.reader.stop()
	r.follower.stop()
}

// change makes a change of each kind: another configuration, an evacuation or its end, a
// server that drains, one that is removed and one that is added.
func (r *relayTest) change() {
	r.copied = r.reader.store.TakeCopy()
	r.versions++
	r.write()
}

// drill lets the store come back from the copy before the last change, which is written again,
// behind other rows.
func (r *relayTest) drill(silent bool, others int) {
	r.reader.store.RestoreCopy(r.copied, silent)
	for i := range others {
		r.reader.putServer("other", "ready", i)
	}
	r.write()
}

// write writes the rows of the last change.
func (r *relayTest) write() {
	r.reader.putConfiguration(10 * r.versions)
	if r.versions%2 == 1 {
		r.reader.store.PutRow(platform.OperatorTable, "evacuate/north-a", []byte("{}"))
	} else {
		r.reader.store.RemoveRow(platform.OperatorTable, "evacuate/north-a")
	}
	r.reader.putServer(fmt.Sprintf("s%d", r.versions-1), "draining", 2)
	r.reader.store.RemoveRow(platform.ServerTable, fmt.Sprintf("s%d", r.versions-2))
	r.reader.putServer(fmt.Sprintf("s%d", r.versions), "ready", 1)
}

// upToDate returns an error unless a registry knows the result of the last call of change.
func (r *relayTest) upToDate(side *recordingRegistry) error {
	if got := side.configurationVersion(); got != uint64(10*r.versions) {
		return errors.Errorf("configuration %d, want %d", got, 10*r.versions)
	}
	if evacuated := side.evacuated(); (len(evacuated) == 1) != (r.versions%2 == 1) {
		return errors.Errorf("evacuated: %v", evacuated)
	}
	_, draining, _ := side.serverState(fmt.Sprintf("s%d", r.versions-1))
	left, _, doubtful := side.serverState(fmt.Sprintf("s%d", r.versions-2))
	added, _, _ := side.serverState(fmt.Sprintf("s%d", r.versions))
	if !draining || left && !doubtful || !added {
		return errors.Errorf("server draining %t, left %t, doubtful %t, added %t", draining, left, doubtful, added)
	}
	return nil
}

// TestFollowerLearnsOfChangesInTime makes changes in the moment in which the reader, or a path,
// fails in some way. A follower that reaches the store must know them within the time in which
// it would without a reader. Each case is a term of the sum in docs/design/platform.md.
func TestFollowerLearnsOfChangesInTime(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(r *relayTest)
		// bound is the time within which the follower must know the change.
		bound time.Duration
	}{
		{
			name:  "nothing fails",
			fail:  func(*relayTest) {},
			bound: 200*time.Millisecond + callBound,
		},
		{
			name:  "reader is killed",
			fail:  func(r *relayTest) { r.toReader.set(pathRefusing) },
			bound: pollPause + callBound,
		},
		{
			name:  "reader is paused or silent",
			fail:  func(r *relayTest) { r.toReader.set(pathSilent) },
			bound: pollPause + callBound,
		},
		{
			name:  "store turns the reader away",
			fail:  func(r *relayTest) { r.readerStore.set(pathRefusing) },
			bound: pollPause + callBound,
		},
		{
			name:  "store is silent for the reader",
			fail:  func(r *relayTest) { r.readerStore.set(pathSilent) },
			bound: pollPause + callBound,
		},
		{
			name: "store turns the reader away and the reader becomes silent",
			fail: func(r *relayTest) {
				r.readerStore.set(pathRefusing)
				r.toReader.set(pathSilent)
			},
			bound: pollPause + callBound,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			// The failure and the change come at different moments of the reader's cycle.
			for offset := time.Duration(0); offset < 2*pollPause; offset += 130 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					r := newRelayTest()
					defer r.stop()
					r.change()
					time.Sleep(5*time.Second + offset)
					assert.NilError(t, r.upToDate(r.follower))
					test.fail(r)
					r.change()
					time.Sleep(test.bound)
					synctest.Wait()
					assert.NilError(t, r.upToDate(r.follower), "offset %s", offset)
				})
			}
		})
	}
}

// TestFollowerAsksTheStoreRarely checks that a follower makes no calls of the store while its
// reader works, and that the reader makes at most three a second.
func TestFollowerAsksTheStoreRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayTest()
		defer r.stop()
		follower, reader := r.followerStore.calls.Load(), r.readerStore.calls.Load()
		time.Sleep(time.Minute)
		assert.Equal(t, r.followerStore.calls.Load(), follower)
		assert.Assert(t, r.readerStore.calls.Load()-reader <= 180, "%d calls", r.readerStore.calls.Load()-reader)
	})
}

// TestCallLostAtTheEndOfAnOutage checks that an entry without a reader knows a change soon after
// a long outage, also if the store never answers the call that was made at the end of it.
func TestCallLostAtTheEndOfAnOutage(t *testing.T) {
	const bound = 2 * time.Second
	for length := 10 * time.Second; length < 14*time.Second; length += 190 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			r := newRelayTest()
			defer r.stop()
			r.toReader.set(pathRefusing)
			r.change()
			time.Sleep(5 * time.Second)
			r.followerStore.set(pathSilent)
			time.Sleep(length)
			r.followerStore.set(pathOpen)
			r.change()
			time.Sleep(bound)
			assert.Equal(t, r.follower.configurationVersion(), uint64(20), "after an outage of %s", length)
		})
	}
}

// TestReaderBehindItsFollower checks that a reader that knows less than the follower, because
// the store is silent for it, takes nothing back.
func TestReaderBehindItsFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayTest()
		defer r.stop()
		r.change()
		time.Sleep(5 * time.Second)
		r.readerStore.set(pathSilent)
		r.change()
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if r.upToDate(r.follower) == nil {
				break
			}
		}
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, r.upToDate(r.follower))
		}
		r.readerStore.set(pathOpen)
		time.Sleep(10 * time.Second)
		assert.NilError(t, r.upToDate(r.follower))
		assert.NilError(t, r.upToDate(r.reader))
	})
}

// TestReaderOfAnEarlierEra guards against rows that a reader passes on from before the store came
// back from a copy: the store is silent for the reader, and the follower knows of the return.
func TestReaderOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayTest()
		defer r.stop()
		copied := r.reader.store.TakeCopy()
		for range 4 {
			r.change()
		}
		time.Sleep(5 * time.Second)
		assert.NilError(t, r.upToDate(r.follower))
		r.readerStore.set(pathSilent)
		r.reader.store.RestoreCopy(copied, true)
		r.change()
		_, err := r.follower.OperatorStore.ReadTable(t.Context(), "others")
		assert.NilError(t, err)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.NilError(t, r.upToDate(r.follower))
		}
		r.readerStore.set(pathOpen)
		time.Sleep(10 * time.Second)
		assert.NilError(t, r.upToDate(r.reader))
		assert.NilError(t, r.upToDate(r.follower))
	})
}

// TestFollowerBehindTheReadersHistory checks that a follower that was cut off while more changed
// than the reader keeps reads the whole table from the store.
func TestFollowerBehindTheReadersHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayTest()
		defer r.stop()
		r.followerStore.set(pathSilent)
		r.toReader.set(pathSilent)
		for i := range 5000 {
			r.reader.putServer(fmt.Sprintf("flood-%d", i%50), "ready", i)
			if i%500 == 0 {
				time.Sleep(2 * time.Second)
			}
		}
		r.change()
		time.Sleep(5 * time.Second)
		r.toReader.set(pathOpen)
		r.followerStore.set(pathOpen)
		time.Sleep(5 * time.Second)
		assert.NilError(t, r.upToDate(r.follower))
	})
}

// TestRelayPromises changes rows while the paths fail and recover at random, and the store comes
// back from copies. Whenever the follower
// has reached the store without a failure for the bound, it knows the last change, and its
// configuration never goes back.
func TestRelayPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 15), 1, 40).Draw(rt, "steps")
		pauses := rapid.SliceOfN(rapid.IntRange(1, 2500), 40, 40).Draw(rt, "pauses")
		var failure error
		synctest.Test(t, func(*testing.T) {
			failure = checkRelay(steps, pauses)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

// checkRelay performs steps, each followed by a pause in milliseconds, and returns an error if a
// promise is broken.
func checkRelay(steps, pauses []int) error {
	r := newRelayTest()
	defer r.stop()
	r.change()
	newest, changedAt, reachableSince := uint64(0), time.Now(), time.Now()
	for i, step := range steps {
		switch {
		case step < 3:
			r.change()
			changedAt = time.Now()
		case step < 6:
			r.readerStore.set(pathState(step - 3))
		case step < 9:
			r.toReader.set(pathState(step - 6))
		case step < 12:
			r.followerStore.set(pathState(step - 9))
			reachableSince = time.Now()
		default:
			r.drill(step%2 == 0, 10*(step-12))
			changedAt, reachableSince = time.Now(), time.Now()
		}
		end := time.Now().Add(time.Duration(pauses[i]) * time.Millisecond)
		for time.Now().Before(end) {
			time.Sleep(25 * time.Millisecond)
			if version := r.follower.configurationVersion(); version < newest {
				return errors.Errorf("configuration %d after %d", version, newest)
			}
			newest = max(newest, r.follower.configurationVersion())
			// A call that was lost while the follower didn't reach the store ends by its timeout,
			// and a missing registration is doubtful for a while after that.
			const recovery = 9 * time.Second
			inTouch := pathState(r.followerStore.state.Load()) == pathOpen && time.Since(reachableSince) > recovery
			if inTouch && time.Since(changedAt) > 3*time.Second {
				if err := r.upToDate(r.follower); err != nil {
					return errors.Wrapf(err, "step %d of %v, %s after the change", i, slices.Clone(steps), time.Since(changedAt))
				}
			}
		}
	}
	return nil
}
