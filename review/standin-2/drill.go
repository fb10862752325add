package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	// awayTime is how long the store is away in a drill.
	awayTime = 600 * time.Millisecond
	// rewriteTime is how long after the return of the store the operator has written again what
	// it wrote, and goes on.
	rewriteTime = 50 * time.Millisecond
	// addedBackends is the number of backends that join before the drill, 0.3 of the service at most,
	// within addTime.
	addedBackends = 6
	addTime       = 500 * time.Millisecond
)

// playLostConfiguration lets the store come back from a copy some seconds old. The operator
// writes again what it wrote, and then moves a route to another service. The rule is CONFIG:
// requests that are sent later than config_apply after the acknowledgement are not run by the
// old service, by machines in touch. The store is stable again stable_window after the drill,
// and max_skew is added, by which an unstable core stretches the bound at most.
func playLostConfiguration(d *deployment, callers *clients, trouble bool) ([]string, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := begin(ctx, d, callers, 40, 30); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for range addedBackends {
		if _, err := d.addBackend(desk, deskSlots, workTime); err != nil {
			return nil, err
		}
		time.Sleep(addTime / addedBackends)
	}
	if _, err := d.operator.write("config", configuration(7, "1300ms", desk)); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.log.add("store", "away", "")
		d.store.goAway(outageSilent)
		time.Sleep(awayTime)
		before := d.store.currentVersion()
		lost := d.store.comeBack(5 * time.Second)
		d.log.add("store", "back", fmt.Sprintf("versions %d to %d are gone", int(before)-lost+1, before))
		if err := d.operator.writeAgain(); err != nil {
			return nil, err
		}
	}
	returned := time.Now()
	time.Sleep(rewriteTime)
	acknowledged, err := d.operator.write("config", configuration(12, "1300ms", intake))
	if err != nil {
		return nil, err
	}
	bound := acknowledged.Add(boundConfigApply + boundMaxSkew)
	if stable := returned.Add(boundStableWindow + boundConfigApply); stable.After(bound) {
		bound = stable
	}
	time.Sleep(time.Until(bound.Add(12 * time.Second)))
	stop()
	attempts := callers.finish()
	late := make(map[string]*attempt)
	for _, each := range attempts {
		if each.route == "book" && each.sentAt.After(bound) {
			late[each.id] = each
		}
	}
	fmt.Printf("%d bookings were sent later than the bound, to %d entries\n", len(late), len(entriesOf(late)))
	var breaks []string
	old := make(map[string]*attempt)
	for _, each := range d.log.all() {
		sent := late[each.who]
		if each.what == "runs" && sent != nil && strings.HasSuffix(each.detail, " "+desk) {
			old[sent.id] = sent
			breaks = append(breaks, fmt.Sprintf("booking %s, sent to %s %.1f s after the acknowledgement of version 12, was run by %s",
				sent.id, sent.entry, sent.sentAt.Sub(acknowledged).Seconds(), each.detail))
		}
	}
	fmt.Printf("%d of them were run by the old service, through %d entries\n", len(old), len(entriesOf(old)))
	return breaks, nil
}

// entriesOf returns the set of the entries that attempts were sent to.
func entriesOf(attempts map[string]*attempt) map[string]bool {
	entries := make(map[string]bool)
	for _, each := range attempts {
		entries[each.entry] = true
	}
	return entries
}

// playLostLeaving replaces backends that never report that they drain, and lets the store then
// come back from a copy some seconds old, with the registrations that were removed meanwhile.
// The rule is DRAIN: no request that was sent later than drain after a machine had passed on an
// answer with Server-Leaving reaches that backend from that machine.
func playLostLeaving(d *deployment, callers *clients, trouble bool) ([]string, error) {
	const (
		replaced   = 6
		replaceGap = time.Second
		copyAge    = 7 * time.Second
		serveTime  = 10 * time.Second
	)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := begin(ctx, d, callers, 120, 60); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	time.Sleep(300 * time.Millisecond)
	leavingAt := make(map[string]time.Time)
	for i := range replaced {
		if _, err := d.addBackend(desk, deskSlots, workTime); err != nil {
			return nil, err
		}
		old := d.backends[i]
		old.leave()
		leavingAt[old.id] = time.Now()
		time.Sleep(replaceGap)
	}
	time.Sleep(time.Until(began.Add(copyAge - awayTime)))
	if trouble {
		d.log.add("store", "away", "")
		d.store.goAway(outageReset)
		time.Sleep(awayTime)
		before := d.store.currentVersion()
		lost := d.store.comeBack(copyAge)
		d.log.add("store", "back", fmt.Sprintf("versions %d to %d are gone", int(before)-lost+1, before))
		if err := d.operator.writeAgain(); err != nil {
			return nil, err
		}
	}
	time.Sleep(serveTime - copyAge + 2*time.Second)
	stop()
	attempts := callers.finish()
	// passedOn holds when an entry first passed on an answer with which a backend said that it
	// leaves.
	type pair struct{ entry, backend string }
	passedOn := make(map[pair]time.Time)
	byID := make(map[string]*attempt)
	for _, each := range attempts {
		byID[each.id] = each
		key := pair{
			entry:   each.entry,
			backend: each.backend,
		}
		if first, found := passedOn[key]; each.leaving && (!found || each.endAt.Before(first)) {
			passedOn[key] = each.endAt
		}
	}
	fmt.Printf("%d times an entry learned from an answer that a backend leaves\n", len(passedOn))
	var breaks []string
	for _, each := range d.log.all() {
		sent := byID[each.who]
		if each.what != "arrives" || sent == nil {
			continue
		}
		first, found := passedOn[pair{
			entry:   sent.entry,
			backend: each.detail,
		}]
		if found && sent.sentAt.Sub(first) > boundDrain {
			breaks = append(breaks, fmt.Sprintf("request %s reached %s from %s, sent %.1f s after that entry had passed on that the backend leaves",
				sent.id, each.detail, sent.entry, sent.sentAt.Sub(first).Seconds()))
		}
	}
	return breaks, nil
}
