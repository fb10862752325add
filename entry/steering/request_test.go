package steering_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/intent"
)

// simulateRequest simulates a request of a caller in a region. The caller sends it to
// an entry of the region, or of another region if none there can be reached.
func (r *replay) simulateRequest(a *actor, region string) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.trace.Deadline())
	defer cancel()
	entry := r.entryFor(region)
	done := false
	if entry != nil {
		a.sleep(time.Duration(r.trace.ClientDelay))
		if r.policy == "ours" {
			done = r.sendByRanking(ctx, a, entry)
		} else {
			done = r.sendByBaseline(ctx, a, entry)
		}
		a.sleep(time.Duration(r.trace.ClientDelay))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.requests++
	if !done {
		// A refused request counts with the deadline as its latency, and its work
		// counts as load for as long as a request takes on average.
		r.result.refused++
		r.result.latencies = append(r.result.latencies, r.trace.Deadline())
		r.refusedWork[region] = append(r.refusedWork[region], time.Now().Add(time.Duration(r.trace.Hold)))
		return
	}
	r.result.done++
	r.result.latencies = append(r.result.latencies, time.Since(began))
}

// entryFor returns a random reachable entry for a caller in a region: one of the region
// if there is any, otherwise one of another region. It returns nil if there is none.
func (r *replay) entryFor(region string) *replayEntry {
	var near, far []*replayEntry
	for _, entry := range r.entries {
		r.mu.Lock()
		unreachable := r.partitioned[entry.failureDomain]
		r.mu.Unlock()
		switch {
		case entry.isDead() || unreachable:
		case entry.region == region:
			near = append(near, entry)
		default:
			far = append(far, entry)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[int(r.randomFloat()*float64(len(near)))]
}

func (r *replay) entryNamed(name string) *replayEntry {
	return r.entries[slices.IndexFunc(r.entries, func(e *replayEntry) bool { return e.name == name })]
}

// sendByRanking tries the first three allowed homes in ranking order without waiting
// for a slot, then the first of them with waiting. Package dispatch does the same if
// three homes are allowed and none has a free slot. sendByRanking reports whether the
// request was done.
func (r *replay) sendByRanking(ctx context.Context, a *actor, entry *replayEntry) bool {
	service := r.currentConfiguration().Service(serviceName)
	var homes []string
	for _, ranked := range entry.view.RankHomes(service, entry.region) {
		if ranked.Allowed && len(homes) < 3 {
			homes = append(homes, ranked.Candidate.Home)
		}
	}
	for attempt, name := range append(homes, homes[:min(1, len(homes))]...) {
		home := r.entryNamed(name)
		done := func() {}
		if home != entry {
			done = entry.view.TrackInFlight(home.name, service.Name)
			a.sleep(r.delay(entry, home))
		}
		served := r.serveAt(ctx, a, entry, home, attempt < len(homes))
		if home != entry {
			a.sleep(r.delay(entry, home))
		}
		done()
		if served {
			return true
		}
	}
	return false
}

// serveAt acquires a slot from home for a request that entry received from the caller,
// and runs the request on the backend server of the slot. It reports whether the
// request was done.
func (r *replay) serveAt(ctx context.Context, a *actor, entry, home *replayEntry, immediate bool) bool {
	if home.isDead() || !r.connected(entry.failureDomain, home.failureDomain) {
		return false
	}
	grant, err := home.ledger.Acquire(ctx, slot.Request{
		Service:      serviceName,
		Priority:     slot.PriorityIdempotent,
		Caller:       entry.name,
		OriginRegion: entry.region,
		Immediate:    immediate,
	})
	if err != nil {
		return false
	}
	defer grant.Release()
	// If another actor released the slot, this goroutine wakes at that actor's
	// instant: wait for this actor's next one.
	a.sleep(0)
	return r.runOnBackend(a, grant.Server.Name)
}

// runOnBackend runs a request on a backend server, and returns false if the server
// refuses it for lack of a free slot.
func (r *replay) runOnBackend(a *actor, name string) bool {
	r.mu.Lock()
	backend := r.backends[name]
	if backend.inFlight >= backend.server.Slots {
		r.result.overSlots++
		r.result.shed++
		r.mu.Unlock()
		return false
	}
	backend.inFlight++
	backend.lastStart = time.Now()
	r.mu.Unlock()
	a.sleep(a.hold)
	r.mu.Lock()
	defer r.mu.Unlock()
	backend.inFlight--
	return true
}

// documents returns the deployment and service documents of a trace. Each region has
// two failure domains with one entry each; the first domain has a second one. The
// backend servers are assigned in turn to the regions, and within a region to its
// failure domains.
func (tr *trace) documents() []intent.Document {
	var text, service strings.Builder
	fmt.Fprintf(&text, "name = \"test\"\n[objective]\nlatency = %g\nheadroom = %g\ndrain-time = 0.15\n", tr.Latency, tr.Headroom)
	fmt.Fprintf(&service, "name = %q\ndeadline = \"10s\"\nramp = \"10s\"\n", serviceName)
	for i, region := range tr.Regions {
		fmt.Fprintf(&text, "[[region]]\nname = %q\n", region)
		fmt.Fprintf(&service, "[[region]]\nname = %q\nmax-rate = 2000\nshift-rate = %g\n", region, tr.ShiftRate)
		for _, domain := range []string{"a", "b"} {
			fmt.Fprintf(&text, "[[failure-domain]]\nname = \"%s-%s\"\nregion = %q\n", region, domain, region)
			fmt.Fprintf(&text, "[[entry]]\nname = \"%s-%s-1\"\nfailure-domain = \"%s-%s\"\n", region, domain, region, domain)
		}
		for _, other := range tr.Regions[:i] {
			fmt.Fprintf(&text, "[[link]]\nbetween = [%q, %q]\nrate = \"4 Gbit/s\"\ndelay = %q\n", other, region, time.Duration(tr.RegionDelay))
		}
	}
	fmt.Fprintf(&text, "[[entry]]\nname = \"%s-a-2\"\nfailure-domain = \"%s-a\"\n", tr.Regions[0], tr.Regions[0])
	for i := range tr.Servers {
		region := tr.Regions[i%len(tr.Regions)]
		fmt.Fprintf(&service, "[[backend-server]]\nname = \"desk-%d\"\naddress = \"127.0.0.1:%d\"\nfailure-domain = \"%s-%c\"\nslots = %d\n",
			i+1, 1000+i, region, 'a'+rune(i/len(tr.Regions)%2), tr.Slots)
	}
	return []intent.Document{
		{
			Name:    intent.DeploymentDocument,
			Content: []byte(text.String()),
		},
		{
			Name:    "services/" + serviceName + ".toml",
			Content: []byte(service.String()),
		},
	}
}
