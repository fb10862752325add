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

// request is one caller's: it asks an entry of its region, or of another when
// all there are lost to it.
func (r *replay) request(a *actor, region string) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.trace.Deadline())
	defer cancel()
	at := r.entryFor(region)
	done := false
	if at != nil {
		a.sleep(time.Duration(r.trace.ClientDelay))
		if r.policy == "ours" {
			done = r.steer(ctx, a, at)
		} else {
			done = r.baseline(ctx, a, at)
		}
		a.sleep(time.Duration(r.trace.ClientDelay))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.requests++
	if !done {
		// A refused request counts as late as its deadline, and its work as load.
		r.result.refused++
		r.result.latencies = append(r.result.latencies, r.trace.Deadline())
		r.unserved[region] = append(r.unserved[region], time.Now().Add(time.Duration(r.trace.Hold)))
		return
	}
	r.result.done++
	r.result.latencies = append(r.result.latencies, time.Since(began))
}

func (r *replay) entryFor(region string) *site {
	var near, far []*site
	for _, each := range r.sites {
		r.mu.Lock()
		gone := r.cut[each.domain]
		r.mu.Unlock()
		switch {
		case each.isDead() || gone:
		case each.region == region:
			near = append(near, each)
		default:
			far = append(far, each)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[int(r.draw()*float64(len(near)))]
}

func (r *replay) site(name string) *site {
	return r.sites[slices.IndexFunc(r.sites, func(s *site) bool { return s.name == name })]
}

// steer does what dispatch does: it tries the places in their order.
func (r *replay) steer(ctx context.Context, a *actor, at *site) bool {
	service := r.current().Service(serviceName)
	var places []string
	for _, ranked := range at.view.RankHomes(service, at.region) {
		if ranked.Allowed && len(places) < 3 {
			places = append(places, ranked.Candidate.Home)
		}
	}
	for attempt, name := range append(places, places[:min(1, len(places))]...) {
		home := r.site(name)
		done := func() {}
		if home != at {
			done = at.view.TrackInFlight(home.name, service.Name)
			a.sleep(r.delay(at, home))
		}
		served := r.serve(ctx, a, at, home, attempt < len(places))
		if home != at {
			a.sleep(r.delay(at, home))
		}
		done()
		if served {
			return true
		}
	}
	return false
}

func (r *replay) serve(ctx context.Context, a *actor, at, home *site, immediate bool) bool {
	if home.isDead() || !r.connected(at.domain, home.domain) {
		return false
	}
	grant, err := home.ledger.Acquire(ctx, slot.Ask{
		Service:    serviceName,
		Priority:   slot.Browse,
		Caller:     at.name,
		FromRegion: at.region,
		Immediate:  immediate,
	})
	if err != nil {
		return false
	}
	defer grant.Release()
	// A grant may come from another task at its instant.
	a.sleep(0)
	return r.work(a, grant.Server.Name)
}

// work runs a request on a backend server; false when it had no slot left.
func (r *replay) work(a *actor, name string) bool {
	r.mu.Lock()
	each := r.backends[name]
	if each.inFlight >= each.server.Slots {
		r.result.overSlots++
		r.result.shed++
		r.mu.Unlock()
		return false
	}
	each.inFlight++
	each.last = time.Now()
	r.mu.Unlock()
	a.sleep(a.hold)
	r.mu.Lock()
	defer r.mu.Unlock()
	each.inFlight--
	return true
}

// documents returns the deployment and the service of a trace.
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
