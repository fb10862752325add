package main

import (
	"context"
	"sync"
	"time"
)

const (
	// coldPerSecond, coldOvershoot and coldSlack are those of the site sarki-lb.
	coldPerSecond = 9.0
	coldOvershoot = 1.5
	coldSlack     = 5.0
	// requestsPerSecond is the rate of the clients of each entry.
	requestsPerSecond = 200
	// restartBackends is the number of backends, of which one crashes: 0.125, where the site has 0.14.
	restartBackends = 8
	// downTime is how long the backend is down.
	downTime = 2200 * time.Millisecond
	// outage is how long the store does not answer.
	outage = 8 * time.Second
)

// browseRoute is a route of safe requests.
const browseRoute = `{"name":"browse","prefix":"/browse/","kind":"safe","timeout":"1500ms","goal":"300ms",
"priority":2,"service":"desk","attempts":2,"sticky":true,"home_regions":[]}`

// runRestart lets a backend crash and start again under its id, and checks FAILBACK. The disruption
// is that the store does not answer meanwhile.
func runRestart(d *deployment) (broken bool, err error) {
	d.domains["bud-a"], d.domains["deb-b"] = "eu-central", "eu-central"
	if err := d.startPlatform(); err != nil {
		return false, err
	}
	d.publish(browseRoute)
	for number := range restartBackends {
		zone := []string{"bud-a", "deb-b"}[number%2]
		if err := d.startBackend(zone, func(*backend) {}); err != nil {
			return false, err
		}
	}
	for number, zone := range []string{"bud-a", "deb-b"} {
		if err := d.startEntry("front-"+zone+"-1", zone, 10+number); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, e := range d.entries {
		clients.Go(func() { d.load(ctx, e, e.name, "desk.example", "/browse/", requestsPerSecond) })
	}
	time.Sleep(6 * time.Second)
	if d.trouble {
		now := time.Now()
		d.store.setOutage(now, now.Add(outage))
		d.record.line("the store does not answer for %s", outage)
	}
	time.Sleep(500 * time.Millisecond)
	b := d.backends[0]
	b.crash()
	time.Sleep(downTime)
	if err := b.start(true); err != nil {
		cancel()
		clients.Wait()
		return false, err
	}
	time.Sleep(10 * time.Second)
	cancel()
	clients.Wait()
	most, from := b.mostColdArrivals()
	bound := coldPerSecond*coldOvershoot + coldSlack
	d.record.line("answers: %v", d.counts)
	if most == 0 {
		d.record.line("no request reached %s while it was cold; bound %.1f", b.id, bound)
		return false, nil
	}
	d.record.line("%s got %d requests in the second from %.3f s on while it was cold; bound %.1f", b.id, most,
		from.Sub(d.record.started).Seconds(), bound)
	return float64(most) > bound, nil
}
