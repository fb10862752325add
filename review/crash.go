package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// stableWindow is the time for which a machine must have run undisturbed to be in touch.
	stableWindow = 4 * time.Second
	// maxCrashRetries is how often a request may reach servers later than stableWindow after it
	// crashed the third.
	maxCrashRetries = 3
)

// crashing sends a request that crashes each server that runs it again and again, and meanwhile
// stops and starts all entries in turn, twice.
func crashing(d *deployment, trouble bool) verdict {
	if err := d.addServers("desk", 8, 3); err != nil {
		return verdict{
			err: err,
		}
	}
	if err := d.startEntries(3); err != nil {
		return verdict{
			err: err,
		}
	}
	number := 0
	send := func(count int) {
		for range count {
			c := &caller{
				record: d.record,
				entry:  d.entries[number%len(d.entries)].ip,
			}
			c.send(call{
				id:       fmt.Sprintf("crash-%d", number),
				method:   http.MethodPost,
				path:     "/sends/13",
				body:     "the same body",
				work:     300 * time.Millisecond,
				deadline: 6 * time.Second,
				crash:    true,
			})
			c.close()
			number++
			// The server is back before the request comes again.
			time.Sleep(stableWindow + 500*time.Millisecond)
		}
	}
	for _, count := range []int{2, 2} {
		send(count)
		// The entries tell each other of a suspect request for a few seconds.
		time.Sleep(time.Second)
		if !trouble {
			continue
		}
		if err := d.restartAll(); err != nil {
			return verdict{
				err: err,
			}
		}
	}
	send(4)
	return verdict{
		broken: crashRetries(d),
	}
}

// restartAll stops the entries in turn and starts them again.
func (d *deployment) restartAll() error {
	for _, each := range d.entries {
		stoppedAt := time.Now()
		d.signal(each, syscall.SIGTERM)
		if err := d.awaitEnd(each, stoppedAt.Add(grace)); err != nil {
			return err
		}
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	return nil
}

// crashRetries returns the retries of the crashing request that reached servers later than
// stableWindow after it crashed the third, if they are too many. All entries are in touch
// whenever the request is sent.
func crashRetries(d *deployment) []string {
	arrivals := d.record.allArrivals()
	var late []string
	for i, each := range arrivals {
		if i < 3 || each.At.Sub(arrivals[2].At) <= stableWindow {
			continue
		}
		late = append(late, fmt.Sprintf("BUDGET: %s reached server %s %s after the same request crashed the third server",
			each.ID, each.Server, each.At.Sub(arrivals[2].At).Round(time.Millisecond)))
	}
	if len(late) <= maxCrashRetries {
		return nil
	}
	return late
}
