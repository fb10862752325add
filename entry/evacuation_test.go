package main

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/store"
)

// TestServersBackFromEvacuationAreNotFlooded guards against more requests than cold servers bear,
// where an evacuation is taken back just after an outage of the store: its end is known before
// the servers could write that they have become cold.
func TestServersBackFromEvacuationAreNotFlooded(t *testing.T) {
	// The registration of a running server is back within two seconds of the store's return.
	for _, registered := range []time.Duration{0, 800 * time.Millisecond, 1900 * time.Millisecond} {
		for name, fault := range map[string]store.Fault{
			"refusing": {
				Outage: store.OutageRefuse,
			},
			"silent": {
				Outage: store.OutageHang,
			},
		} {
			t.Run(fmt.Sprintf("%s store, registered after %s", name, registered), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testReturnFromEvacuation(t, fault, registered) })
			})
		}
	}
}

func testReturnFromEvacuation(t *testing.T, fault store.Fault, registered time.Duration) {
	const evacuation, coldPerSecond = "evacuate/region-0-a", 5
	s := newPlatformSite(t, &platformSite{
		regions: 3,
		slots:   20,
	}, 7, 6)
	s.store.PutRow(platform.OperatorTable, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":2,
"services":[{"name":"desk","health_path":"/healthz","max_conns":330,"cold_start":"8s","cold_per_s":%d}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s","idle_timeout":"15s"},
"vhosts":[{"host":"desk.example","paths":[
{"name":"browse","prefix":"/browse/","kind":"safe","timeout":"2s","goal":"600ms","priority":2,"service":"desk","attempts":2,"sticky":true}]}]}`, coldPerSecond))
	s.store.PutRow(platform.OperatorTable, evacuation, []byte("{}"))
	var returned time.Time
	var script sync.WaitGroup
	script.Go(func() {
		time.Sleep(3 * time.Second)
		s.store.SetFault(fault)
		time.Sleep(4500 * time.Millisecond)
		s.store.SetFault(store.Fault{})
		time.Sleep(300 * time.Millisecond)
		for _, index := range []int{0, 3} {
			s.server(index).setCold(registered + 7*time.Second)
		}
		s.store.RemoveRow(platform.OperatorTable, evacuation)
		returned = time.Now()
		time.Sleep(registered)
		for _, index := range []int{0, 3} {
			s.store.PutRow(platform.ServerTable, fmt.Sprintf("i-%d", index), fmt.Appendf(nil,
				`{"addr":"10.9.0.%d:8080","info":{"service":"desk","version":"v1","zone":"region-0-a","slots":20},"status":{"state":"ready","seq":2,"cold_left":"7000ms"},"born":1}`,
				index+1))
		}
	})
	s.runCallers(t, 240, 20*time.Second)
	script.Wait()
	// What entries send to a cold server of one service together: the rate that it bears, times
	// the factor of the bounds, plus their slack.
	const allowed = coldPerSecond*1.5 + 5
	for _, index := range []int{0, 3} {
		server := s.servers[fmt.Sprintf("10.9.0.%d:8080", index+1)]
		assert.Equal(t, server.arrivalsBetween(returned.Add(-time.Second), returned, false), 0, "server %s is evacuated", server.id)
		for at := returned; at.Before(returned.Add(6 * time.Second)); at = at.Add(20 * time.Millisecond) {
			count := server.arrivalsBetween(at, at.Add(time.Second), false)
			assert.Assert(t, float64(count) <= allowed, "cold server %s got %d requests in the second from %s after its return, allowed %g",
				server.id, count, at.Sub(returned), allowed)
		}
		assert.Assert(t, server.arrivalsBetween(returned, returned.Add(3*time.Second), false) > 0, "server %s got nothing", server.id)
		assert.Assert(t, server.arrivalsBetween(time.Now().Add(-2*time.Second), time.Now(), false) > 20, "server %s is warm again", server.id)
	}
}
