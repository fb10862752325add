package registry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/registry"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/routing"
	"github.com/teaselstack/teaselstack/standin/store"
)

// handlerTransport calls a handler directly, and returns an error if the handler
// panics to drop the connection. A real connection would block outside the synctest
// bubble and keep its fake clock from advancing.
type handlerTransport struct {
	handler http.Handler
}

func (h handlerTransport) RoundTrip(request *http.Request) (resp *http.Response, err error) {
	recorder := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			err = io.ErrUnexpectedEOF
		}
	}()
	request.RemoteAddr = "10.0.0.1:1"
	if request.Body == nil {
		request.Body = http.NoBody
	}
	h.handler.ServeHTTP(recorder, request)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// recordingRegistry is a registry whose callbacks record the resulting state.
type recordingRegistry struct {
	*registry.Registry
	store  *store.Server
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// servers holds the registered servers by ID, and doubtful the IDs of those that
	// may be gone.
	servers  map[string]routing.Server
	doubtful []string
	// evacuatedDomains holds the evacuated failure domains.
	evacuatedDomains []string
	// confirmedAt is when the store last confirmed the server table, as reported.
	confirmedAt time.Time
}

// testRegistry runs a test under a fake clock with a registry and the stand-in for the
// platform's store. The registry does nothing until the test calls run.
func testRegistry(t *testing.T, test func(t *testing.T, r *recordingRegistry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRecordingRegistry(store.New())
		defer r.stop()
		test(t, r)
	})
}

func newRecordingRegistry(server *store.Server) *recordingRegistry {
	r := &recordingRegistry{
		store:   server,
		servers: make(map[string]routing.Server),
	}
	eras := &platform.Eras{}
	client := func() *platform.Client {
		client := platform.NewClient("http://store", &http.Client{
			Transport: handlerTransport{
				handler: server,
			},
		})
		client.Eras = eras
		return client
	}
	r.Registry = &registry.Registry{
		OperatorStore: client(),
		ServerStore:   client(),
		Regions: map[string]string{
			"north-a": "north",
		},
		ServerPollPause:      func() time.Duration { return time.Second },
		MaxLag:               func() time.Duration { return 3 * time.Second },
		RegistrationInterval: func() time.Duration { return heartbeat },
		OnConfiguration:      func(*routing.Configuration) {},
		OnEvacuations:        r.setEvacuated,
		OnServersUpdated:     r.update,
		OnServersRemoved:     r.remove,
		OnDoubtfulServers:    r.setDoubtful,
		OnServersConfirmed:   r.confirm,
		SnapshotSources: func() []func(context.Context) (registry.Snapshot, error) {
			return nil
		},
		Logger: &log.Logger{
			Level:  log.InfoLevel,
			Writer: log.IOWriter{Writer: io.Discard},
		},
	}
	return r
}

// run calls Run in the background, until stop is called.
func (r *recordingRegistry) run() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.group.Go(func() { r.Run(ctx) })
}

func (r *recordingRegistry) stop() {
	if r.cancel != nil {
		r.cancel()
	}
	r.group.Wait()
	r.store.WaitLateWrites()
}

func (r *recordingRegistry) setEvacuated(domains map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuatedDomains = nil
	for domain := range domains {
		r.evacuatedDomains = append(r.evacuatedDomains, domain)
	}
}

func (r *recordingRegistry) update(servers []routing.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range servers {
		r.servers[server.ID] = server
	}
}

func (r *recordingRegistry) remove(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		delete(r.servers, id)
	}
}

func (r *recordingRegistry) setDoubtful(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtful = slices.Clone(ids)
}

func (r *recordingRegistry) confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = at
}

// lastConfirmed returns when the store last confirmed the server table.
func (r *recordingRegistry) lastConfirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

// evacuated returns the failure domains that were last set as evacuated.
func (r *recordingRegistry) evacuated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(slices.Values(r.evacuatedDomains))
}

// serverState reports whether a server is registered, draining and doubtful.
func (r *recordingRegistry) serverState(id string) (registered, draining, doubtful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server, registered := r.servers[id]
	return registered, server.Draining, slices.Contains(r.doubtful, id)
}

// serverStart returns when a server started, according to its registration.
func (r *recordingRegistry) serverStart(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[id].StartUnixMS
}

func (r *recordingRegistry) putConfiguration(version int) {
	r.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, fmt.Appendf(nil,
		`{"version":%d,"vhosts":[{"host":"a","paths":[{"name":"r","prefix":"/","service":"desk"}]}]}`, version))
}

func (r *recordingRegistry) putServer(id, state string, sequence int) {
	r.store.PutRow(platform.ServerTable, id, fmt.Appendf(nil,
		`{"addr":"10.0.0.9:80","info":{"service":"desk","zone":"north-a","slots":3},"status":{"state":%q,"seq":%d,"cold_left":"0ms"}}`, state, sequence))
}

// putIncarnation writes the registration of a server that states when it started.
func (r *recordingRegistry) putIncarnation(id, state string, sequence int, start int64) {
	r.store.PutRow(platform.ServerTable, id, fmt.Appendf(nil,
		`{"addr":"10.0.0.9:80","info":{"service":"desk","zone":"north-a","slots":3},"status":{"state":%q,"seq":%d,"cold_left":"0ms"},"born":%d}`, state, sequence, start))
}

func (r *recordingRegistry) configurationVersion() uint64 {
	if conf := r.Configuration(); conf != nil {
		return conf.Version
	}
	return 0
}

// TestNewestConfigurationStaysInForce: neither an older version of the configuration nor
// a row that can't be decoded replaces the newest valid version.
func TestNewestConfigurationStaysInForce(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.putConfiguration(3)
		r.run()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, r.configurationVersion(), uint64(3))
		r.putConfiguration(9)
		synctest.Wait()
		assert.Equal(t, r.configurationVersion(), uint64(9), "a change must arrive at once")
		r.putConfiguration(8)
		r.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, []byte("{"))
		time.Sleep(30 * time.Second)
		assert.Equal(t, r.configurationVersion(), uint64(9))
	})
}

// TestEvacuatedDomainsFollowOperatorRows: an operator's row evacuates a failure
// domain, and its removal ends that, also when the store compacts its history in
// between.
func TestEvacuatedDomainsFollowOperatorRows(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.putConfiguration(1)
		r.run()
		r.store.PutRow(platform.OperatorTable, "evacuate/north-a", []byte("{}"))
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, r.evacuated(), []string{"north-a"})
		r.store.Compact()
		r.store.RemoveRow(platform.OperatorTable, "evacuate/north-a")
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(r.evacuated()), 0)
	})
}

// TestDrainingAndRemovedServersAreReported: the callbacks report a server's draining state
// and its removal after the next poll, one ServerPollPause later.
func TestDrainingAndRemovedServersAreReported(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.runWithTwoServers()
		assert.Assert(t, r.Loaded())
		r.putServer("a", "draining", 2)
		r.store.RemoveRow(platform.ServerTable, "b")
		time.Sleep(1100 * time.Millisecond)
		registered, draining, _ := r.serverState("a")
		assert.Assert(t, registered && draining)
		registered, _, _ = r.serverState("b")
		assert.Assert(t, !registered)
	})
}

// TestLastRowStateInOneResponseWins: a server that is registered again and then removed
// between two polls, so that one response holds both changes, ends up removed.
func TestLastRowStateInOneResponseWins(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.putConfiguration(1)
		r.putServer("a", "ready", 1)
		r.run()
		time.Sleep(100 * time.Millisecond)
		r.putServer("a", "ready", 2)
		r.store.RemoveRow(platform.ServerTable, "a")
		time.Sleep(1100 * time.Millisecond)
		registered, _, _ := r.serverState("a")
		assert.Assert(t, !registered)
	})
}

// runWithTwoServers starts the registry and waits until it has read a configuration
// and the servers a and b.
func (r *recordingRegistry) runWithTwoServers() {
	r.putConfiguration(1)
	r.putServer("a", "ready", 1)
	r.putServer("b", "ready", 1)
	r.run()
	time.Sleep(100 * time.Millisecond)
}

// TestFullReadWhenHistoryIsGone: if the store no longer has the changes that were made
// during an outage, the tables are read in full and no change is missed.
func TestFullReadWhenHistoryIsGone(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.runWithTwoServers()
		r.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		time.Sleep(11 * time.Second)
		r.store.RemoveRow(platform.ServerTable, "a")
		r.putServer("b", "draining", 2)
		r.putConfiguration(2)
		r.store.Compact()
		r.store.SetFault(store.Fault{})
		time.Sleep(5 * time.Second)
		registered, _, _ := r.serverState("a")
		assert.Assert(t, !registered)
		_, draining, _ := r.serverState("b")
		assert.Assert(t, draining)
		assert.Equal(t, r.configurationVersion(), uint64(2))
	})
}

// TestHistoryGoneIsNoConfirmation guards against a server that gets requests for another pause
// between two polls although it is draining, because the store's answer that it has no more
// history counts as one that nothing has changed.
func TestHistoryGoneIsNoConfirmation(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.ServerPollPause = func() time.Duration { return 5 * time.Second }
		r.runWithTwoServers()
		r.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		time.Sleep(11 * time.Second)
		r.putServer("b", "draining", 2)
		r.store.Compact()
		r.store.SetFault(store.Fault{})
		for draining := false; !draining; _, draining, _ = r.serverState("b") {
			age, known := r.TableAge(platform.ServerTable)
			assert.Assert(t, known && age >= 5*time.Second, "confirmed %s ago", age)
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestMissingRegistrationAfterOutageIsDoubtfulThenGone: a server whose registration
// is missing after an outage is doubtful until two seconds after the last failed call
// and then removed, even if no row changes at that time. A server that registers again
// before that stays.
func TestMissingRegistrationAfterOutageIsDoubtfulThenGone(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.runWithTwoServers()
		r.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		time.Sleep(12 * time.Second)
		r.store.RemoveRow(platform.ServerTable, "a")
		r.store.RemoveRow(platform.ServerTable, "b")
		r.store.SetFault(store.Fault{})
		time.Sleep(500 * time.Millisecond)
		registered, _, doubtful := r.serverState("a")
		assert.Assert(t, registered && doubtful)
		r.putServer("b", "ready", 1)
		time.Sleep(2 * time.Second)
		registered, _, _ = r.serverState("a")
		assert.Assert(t, !registered)
		registered, _, doubtful = r.serverState("b")
		assert.Assert(t, registered && !doubtful)
	})
}

// TestCallsDroppedInOutageTimeOut: calls that the store drops during an outage time out
// within MaxLag after its end, so that a change made then arrives. This holds both for
// the first read of a table and for later ones.
func TestCallsDroppedInOutageTimeOut(t *testing.T) {
	for _, loaded := range []bool{false, true} {
		testRegistry(t, func(t *testing.T, r *recordingRegistry) {
			r.putConfiguration(1)
			if loaded {
				r.run()
				time.Sleep(100 * time.Millisecond)
			}
			r.store.SetFault(store.Fault{
				Outage: store.OutageDrop,
			})
			if !loaded {
				r.run()
			}
			time.Sleep(12 * time.Second)
			r.store.SetFault(store.Fault{})
			time.Sleep(3 * time.Second)
			r.putConfiguration(2)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, r.configurationVersion(), uint64(2))
		})
	}
}

// TestChangeAfterMomentaryOutageArrivesInTime guards against an older configuration in force, or a server
// that has left in use, beyond the undisturbed window after an outage of a moment: a call that the store
// lost ended with the window, and the next one came on top.
func TestChangeAfterMomentaryOutageArrivesInTime(t *testing.T) {
	for offset := time.Duration(0); offset < 3*time.Second; offset += 40 * time.Millisecond {
		testRegistry(t, func(t *testing.T, r *recordingRegistry) {
			r.putConfiguration(1)
			r.putServer("a", "ready", 1)
			r.run()
			time.Sleep(5*time.Second + offset)
			r.store.SetFault(store.Fault{
				Outage: store.OutageDrop,
			})
			time.Sleep(50 * time.Millisecond)
			r.store.SetFault(store.Fault{})
			r.putConfiguration(2)
			r.putServer("a", "draining", 2)
			time.Sleep(r.MaxLag())
			assert.Equal(t, r.configurationVersion(), uint64(2), "outage at %s", offset)
			_, draining, _ := r.serverState("a")
			assert.Assert(t, draining, "outage at %s", offset)
		})
	}
}

// TestStartFromSnapshotOfAnotherEntry: an entry that starts while the store refuses
// its calls loads the snapshot of another entry, and watches the tables once the
// store answers.
func TestStartFromSnapshotOfAnotherEntry(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.putConfiguration(4)
		r.putServer("a", "ready", 1)
		r.run()
		time.Sleep(100 * time.Millisecond)
		r.store.SetFault(store.Fault{
			RefusedAddresses: []string{"10.0.0.1"},
		})
		starting := newRecordingRegistry(r.store)
		defer starting.stop()
		starting.SnapshotSources = func() []func(context.Context) (registry.Snapshot, error) {
			return []func(context.Context) (registry.Snapshot, error){
				func(context.Context) (registry.Snapshot, error) {
					return registry.Snapshot{}, io.ErrUnexpectedEOF
				},
				func(context.Context) (registry.Snapshot, error) {
					snapshot, _ := r.Snapshot()
					return snapshot, nil
				},
			}
		}
		starting.run()
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, starting.Loaded())
		assert.Equal(t, starting.configurationVersion(), uint64(4))
		registered, _, _ := starting.serverState("a")
		assert.Assert(t, registered)
		r.store.RemoveRow(platform.ServerTable, "a")
		r.store.SetFault(store.Fault{})
		time.Sleep(5 * time.Second)
		registered, _, _ = starting.serverState("a")
		assert.Assert(t, !registered)
	})
}

// slowTransport delays each call.
type slowTransport struct {
	next  http.RoundTripper
	delay time.Duration
}

func (s slowTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(s.delay)
	return s.next.RoundTrip(request)
}

// TestSlowFirstReadAsksNoOtherEntry checks that an entry whose first read of the store takes
// seconds asks no other entry for a snapshot, and loads what it read.
func TestSlowFirstReadAsksNoOtherEntry(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.putConfiguration(1)
		r.putServer("a", "ready", 1)
		asked := 0
		r.SnapshotSources = func() []func(context.Context) (registry.Snapshot, error) {
			asked++
			return nil
		}
		r.ServerStore.HTTPClient.Transport = slowTransport{
			next:  r.ServerStore.HTTPClient.Transport,
			delay: 2500 * time.Millisecond,
		}
		r.run()
		time.Sleep(2600 * time.Millisecond)
		assert.Assert(t, r.Loaded())
		assert.Equal(t, asked, 0)
	})
}

// TestServersAreConfirmedWhileTheStoreAnswers checks that the time up to which the registrations
// are known advances with each call that the store answers, also without changes, and not during
// an outage.
func TestServersAreConfirmedWhileTheStoreAnswers(t *testing.T) {
	testRegistry(t, func(t *testing.T, r *recordingRegistry) {
		r.run()
		for range 5 {
			time.Sleep(3 * time.Second)
			assert.Assert(t, time.Since(r.lastConfirmed()) <= 3*time.Second, "confirmed %s ago", time.Since(r.lastConfirmed()))
		}
		// The outage begins in a pause: the stand-in answers a call that it holds already.
		for last := r.lastConfirmed(); r.lastConfirmed().Equal(last); {
			time.Sleep(10 * time.Millisecond)
		}
		r.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		outage := time.Now()
		time.Sleep(10 * time.Second)
		assert.Assert(t, !r.lastConfirmed().After(outage), "confirmed %s after the beginning of the outage", r.lastConfirmed().Sub(outage))
		r.store.SetFault(store.Fault{})
		time.Sleep(3 * time.Second)
		assert.Assert(t, time.Since(r.lastConfirmed()) <= 3*time.Second, "confirmed %s ago", time.Since(r.lastConfirmed()))
	})
}
