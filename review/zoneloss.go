package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lostZone is the index of the failure domain that loses power, for lossTime. Its machines
	// and servers are back within 1.5 s after that.
	lostZone   = 3
	lossTime   = 5500 * time.Millisecond
	returnTime = time.Second
	// expiryTime is how long after its last heartbeat a registration is removed.
	expiryTime = 4500 * time.Millisecond
	// recoveryTime is the bound "recovery", after which the state counts as steady here.
	recoveryTime = 15 * time.Second
	// refreshInterval is the time between two refreshes of the displays of an office, and
	// displays their number.
	refreshInterval = 6 * time.Second
	displays        = 12
	// steadyRefreshes is the number of refreshes in the steady state.
	steadyRefreshes = 4
)

// addedRoute is the route that a later version of the configuration adds.
const addedRoute = `,
{"name":"briefs","prefix":"/briefs/","kind":"safe","timeout":"1500ms","goal":"600ms","priority":2,"service":"desk","attempts":3,"sticky":true}]}]}`

// loseZone lets a failure domain lose power once, while the displays of an office, which share
// an address, refresh the same page on a route that was added.
func loseZone(d *deployment, trouble bool) verdict {
	if err := d.addServers("desk", 18, 3); err != nil {
		return verdict{
			err: err,
		}
	}
	if err := d.startEntries(len(zones)); err != nil {
		return verdict{
			err: err,
		}
	}
	next := strings.Replace(configuration, `"version":7`, `"version":12`, 1)
	d.store.put("op", "config", []byte(strings.TrimSuffix(next, "]}]}")+addedRoute))
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	var group sync.WaitGroup
	var first, added results
	group.Go(func() { d.browse(ctx, &first) })
	refresh := func(number, entry int) *sync.WaitGroup {
		var batch sync.WaitGroup
		for i := range displays {
			batch.Go(func() {
				c := &caller{
					record: d.record,
					ip:     d.prefix + ".240",
					entry:  d.entries[entry].ip,
				}
				defer c.close()
				added.add(c.send(call{
					id:       fmt.Sprintf("display-%d-%d", number, i),
					method:   http.MethodGet,
					path:     "/briefs/today",
					work:     880 * time.Millisecond,
					deadline: 4 * time.Second,
				}))
			})
		}
		return &batch
	}
	refresh(0, 0).Wait()
	time.Sleep(refreshInterval - time.Second)
	batch := refresh(1, 0)
	time.Sleep(300 * time.Millisecond)
	lostAt := time.Now()
	if trouble {
		d.powerOff(lostZone, &group)
	}
	batch.Wait()
	number := 2
	for time.Since(lostAt) < lossTime+returnTime+recoveryTime {
		time.Sleep(time.Until(lostAt.Add(time.Duration(number-1) * refreshInterval)))
		refresh(number, 0).Wait()
		number++
	}
	steadyAt := time.Now()
	d.record.log("the state is steady")
	for i := range steadyRefreshes {
		refresh(number+i, i).Wait()
		time.Sleep(refreshInterval)
	}
	cancel()
	group.Wait()
	servedFirst, allFirst := servedSince(&first, steadyAt)
	servedAdded, allAdded := servedSince(&added, steadyAt)
	d.record.log("steady state: served %d of %d on the first routes, %d of %d on the added one", servedFirst, allFirst, servedAdded, allAdded)
	if allFirst == 0 || allAdded < 20 {
		return verdict{
			err: fmt.Errorf("too few requests in the steady state: %d and %d", allFirst, allAdded),
		}
	}
	if 4*servedAdded*allFirst < servedFirst*allAdded {
		return verdict{
			broken: []string{fmt.Sprintf("CONFIG: in steady state %d of %d requests on the added route were served, and %d of %d on the first routes", servedAdded, allAdded, servedFirst, allFirst)},
		}
	}
	return verdict{}
}

// browse sends requests on a first route, from several callers, until ctx is done.
func (d *deployment) browse(ctx context.Context, first *results) {
	var group sync.WaitGroup
	for number := 0; sleep(ctx, 150*time.Millisecond); number++ {
		group.Go(func() {
			c := &caller{
				record: d.record,
				ip:     fmt.Sprintf("%s.%d", d.prefix, 230+number%9),
				entry:  d.entries[number%3].ip,
			}
			defer c.close()
			first.add(c.send(call{
				id:       fmt.Sprintf("read-%d", number),
				method:   http.MethodGet,
				path:     fmt.Sprintf("/reads/%d", number%24),
				work:     880 * time.Millisecond,
				deadline: 4 * time.Second,
			}))
		})
	}
	group.Wait()
}

// servedSince returns how many of the requests sent since a time were served, and how many
// there were.
func servedSince(ends *results, since time.Time) (served, all int) {
	ends.mu.Lock()
	defer ends.mu.Unlock()
	for _, each := range ends.all {
		if each.sentAt.Before(since) {
			continue
		}
		all++
		if each.status == http.StatusOK {
			served++
		}
	}
	return served, all
}

// powerOff takes the power from a failure domain, and gives it back in the background.
func (d *deployment) powerOff(zone int, group *sync.WaitGroup) {
	d.record.log("the failure domain %s loses power", zones[zone].name)
	lost := d.entries[zone]
	d.signal(lost, syscall.SIGKILL)
	for _, b := range d.servers {
		if b.zone != zones[zone].name {
			continue
		}
		b.powerOff()
		group.Go(func() {
			time.Sleep(lossTime + returnTime)
			if err := b.start(); err != nil {
				d.record.log("server %s can't start: %v", b.id, err)
				return
			}
			d.record.log("server %s is back", b.id)
		})
	}
	group.Go(func() {
		time.Sleep(lossTime + returnTime)
		if err := d.startEntry(lost, len(d.entries)); err != nil {
			d.record.log("entry %s can't start: %v", lost.ip, err)
		}
	})
}

// powerOff ends the server without a word on its connections, and lets its registration expire.
func (b *backend) powerOff() {
	b.mu.Lock()
	server, listener := b.server, b.listener
	b.server = nil
	expireAt := b.beatAt.Add(expiryTime)
	born := b.born
	close(b.off)
	b.mu.Unlock()
	_ = listener.Close()
	b.group.Go(func() {
		time.Sleep(time.Until(expireAt))
		b.mu.Lock()
		expired := b.born == born
		b.mu.Unlock()
		if expired {
			b.store.remove("servers", b.id)
			b.record.log("the registration of %s has expired", b.id)
		}
	})
	b.group.Go(func() {
		// What was sent to the server before is never answered.
		time.Sleep(lossTime)
		_ = server.Close()
	})
}
