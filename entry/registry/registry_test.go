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

// direct calls a handler without a network, so that the paused clock works.
type direct struct {
	handler http.Handler
}

func (d direct) RoundTrip(request *http.Request) (resp *http.Response, err error) {
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
	d.handler.ServeHTTP(recorder, request)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// follower is a registry with what it told.
type follower struct {
	*registry.Registry
	store  *store.Server
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu       sync.Mutex
	servers  map[string]routing.Server
	doubtful []string
	evacuate []string
}

// follow runs a test with a registry that follows a stand-in store.
func follow(t *testing.T, test func(t *testing.T, f *follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFollower(store.New())
		defer f.stop()
		test(t, f)
	})
}

func newFollower(server *store.Server) *follower {
	f := &follower{
		store:   server,
		servers: make(map[string]routing.Server),
	}
	client := func() *platform.Client {
		return platform.NewClient("http://store", &http.Client{
			Transport: direct{
				handler: server,
			},
		})
	}
	f.Registry = &registry.Registry{
		OperatorStore: client(),
		ServerStore:   client(),
		Regions: map[string]string{
			"north-a": "north",
		},
		ServerPollInterval: func() time.Duration { return time.Second },
		MaxLag:             3 * time.Second,
		OnConfiguration:    func(*routing.Configuration) {},
		SetEvacuated:       f.setEvacuated,
		UpdateServers:      f.update,
		RemoveServers:      f.remove,
		SetDoubtful:        f.doubt,
		SnapshotSources: func() []func(context.Context) (registry.Snapshot, error) {
			return nil
		},
		Logger: &log.Logger{
			Level:  log.InfoLevel,
			Writer: log.IOWriter{Writer: io.Discard},
		},
	}
	return f
}

// run starts to follow.
func (f *follower) run() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.group.Go(func() { f.Run(ctx) })
}

func (f *follower) stop() {
	if f.cancel != nil {
		f.cancel()
	}
	f.group.Wait()
	f.store.WaitLateWrites()
}

func (f *follower) setEvacuated(domains map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuate = nil
	for domain := range domains {
		f.evacuate = append(f.evacuate, domain)
	}
}

func (f *follower) update(news []routing.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, each := range news {
		f.servers[each.ID] = each
	}
}

func (f *follower) remove(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		delete(f.servers, id)
	}
}

func (f *follower) doubt(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubtful = slices.Clone(ids)
}

// evacuated returns the failure domains that get nothing.
func (f *follower) evacuated() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.evacuate)
}

// has reports whether a server counts as registered, and whether as leaving.
func (f *follower) has(id string) (registered, draining, doubtful bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	server, registered := f.servers[id]
	return registered, server.Draining, slices.Contains(f.doubtful, id)
}

func (f *follower) configure(version int) {
	f.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, fmt.Appendf(nil,
		`{"version":%d,"vhosts":[{"host":"a","paths":[{"name":"r","prefix":"/","service":"desk"}]}]}`, version))
}

func (f *follower) register(id, state string, sequence int) {
	f.store.PutRow(platform.ServerTable, id, fmt.Appendf(nil,
		`{"addr":"a","info":{"service":"desk","zone":"north-a","slots":3},"status":{"state":%q,"seq":%d,"cold_left":"0ms"}}`, state, sequence))
}

func (f *follower) version() uint64 {
	if conf := f.Configuration(); conf != nil {
		return conf.Version
	}
	return 0
}

func TestNewestConfigurationStaysInForce(t *testing.T) {
	follow(t, func(t *testing.T, f *follower) {
		f.configure(3)
		f.run()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.version(), uint64(3))
		f.configure(9)
		synctest.Wait()
		assert.Equal(t, f.version(), uint64(9), "news comes at once")
		f.configure(8)
		f.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, []byte("{"))
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.version(), uint64(9))
	})
}

func TestEvacuatedDomainsFollowOperatorRows(t *testing.T) {
	follow(t, func(t *testing.T, f *follower) {
		f.configure(1)
		f.run()
		f.store.PutRow(platform.OperatorTable, "evacuate/north-a", []byte("{}"))
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, f.evacuated(), []string{"north-a"})
		f.store.Compact()
		f.store.RemoveRow(platform.OperatorTable, "evacuate/north-a")
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(f.evacuated()), 0)
	})
}

func TestDrainingAndRemovedServersAreReported(t *testing.T) {
	follow(t, func(t *testing.T, f *follower) {
		f.begin()
		assert.Assert(t, f.Loaded())
		f.register("a", "draining", 2)
		f.store.RemoveRow(platform.ServerTable, "b")
		time.Sleep(1100 * time.Millisecond)
		registered, draining, _ := f.has("a")
		assert.Assert(t, registered && draining)
		registered, _, _ = f.has("b")
		assert.Assert(t, !registered)
	})
}

// TestLastRowStateInOneResponseWins: the last state of a row counts.
func TestLastRowStateInOneResponseWins(t *testing.T) {
	follow(t, func(t *testing.T, f *follower) {
		f.configure(1)
		f.register("a", "ready", 1)
		f.run()
		time.Sleep(100 * time.Millisecond)
		f.register("a", "ready", 2)
		f.store.RemoveRow(platform.ServerTable, "a")
		time.Sleep(1100 * time.Millisecond)
		registered, _, _ := f.has("a")
		assert.Assert(t, !registered)
	})
}

// begin lets the registry read a configuration and two servers.
func (f *follower) begin() {
	f.configure(1)
	f.register("a", "ready", 1)
	f.register("b", "ready", 1)
	f.run()
	time.Sleep(100 * time.Millisecond)
}

// TestFullReadWhenHistoryIsGone reads the tables in full and misses nothing.
func TestFullReadWhenHistoryIsGone(t *testing.T) {
	follow(t, func(t *testing.T, f *follower) {
		f.begin()
		f.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		time.Sleep(11 * time.Second)
		f.store.RemoveRow(platform.ServerTable, "a")
		f.register("b", "draining", 2)
		f.configure(2)
		f.store.Compact()
		f.store.SetFault(store.Fault{})
		time.Sleep(5 * time.Second)
		registered, _, _ := f.has("a")
		assert.Assert(t, !registered)
		_, draining, _ := f.has("b")
		assert.Assert(t, draining)
		assert.Equal(t, f.version(), uint64(2))
	})
}

// TestMissingRegistrationAfterOutageIsDoubtfulThenGone: a registration that is missing after an outage
// is doubtful for two seconds and gone then, also when nothing else changes.
func TestMissingRegistrationAfterOutageIsDoubtfulThenGone(t *testing.T) {
	follow(t, func(t *testing.T, f *follower) {
		f.begin()
		f.store.SetFault(store.Fault{
			Outage: store.OutageRefuse,
		})
		time.Sleep(12 * time.Second)
		f.store.RemoveRow(platform.ServerTable, "a")
		f.store.RemoveRow(platform.ServerTable, "b")
		f.store.SetFault(store.Fault{})
		time.Sleep(500 * time.Millisecond)
		registered, _, doubtful := f.has("a")
		assert.Assert(t, registered && doubtful)
		f.register("b", "ready", 1)
		time.Sleep(2 * time.Second)
		registered, _, _ = f.has("a")
		assert.Assert(t, !registered)
		registered, _, doubtful = f.has("b")
		assert.Assert(t, registered && !doubtful)
	})
}

// TestCallsDroppedInOutageTimeOut: calls that the store drops during an outage are given up
// in time for what changes after it, at the start and later.
func TestCallsDroppedInOutageTimeOut(t *testing.T) {
	for _, known := range []bool{false, true} {
		follow(t, func(t *testing.T, f *follower) {
			f.configure(1)
			if known {
				f.run()
				time.Sleep(100 * time.Millisecond)
			}
			f.store.SetFault(store.Fault{
				Outage: store.OutageDrop,
			})
			if !known {
				f.run()
			}
			time.Sleep(12 * time.Second)
			f.store.SetFault(store.Fault{})
			time.Sleep(3 * time.Second)
			f.configure(2)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, f.version(), uint64(2))
		})
	}
}

// TestStartFromSnapshotOfAnotherEntry: an entry that starts while the store turns it away takes
// over what another has read, and the store's word once it answers.
func TestStartFromSnapshotOfAnotherEntry(t *testing.T) {
	follow(t, func(t *testing.T, f *follower) {
		f.configure(4)
		f.register("a", "ready", 1)
		f.run()
		time.Sleep(100 * time.Millisecond)
		f.store.SetFault(store.Fault{
			RefusedAddresses: []string{"10.0.0.1"},
		})
		late := newFollower(f.store)
		defer late.stop()
		late.SnapshotSources = func() []func(context.Context) (registry.Snapshot, error) {
			return []func(context.Context) (registry.Snapshot, error){
				func(context.Context) (registry.Snapshot, error) {
					return registry.Snapshot{}, io.ErrUnexpectedEOF
				},
				func(context.Context) (registry.Snapshot, error) {
					snapshot, _ := f.Snapshot()
					return snapshot, nil
				},
			}
		}
		late.run()
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, late.Loaded())
		assert.Equal(t, late.version(), uint64(4))
		registered, _, _ := late.has("a")
		assert.Assert(t, registered)
		f.store.RemoveRow(platform.ServerTable, "a")
		f.store.SetFault(store.Fault{})
		time.Sleep(5 * time.Second)
		registered, _, _ = late.has("a")
		assert.Assert(t, !registered)
	})
}
