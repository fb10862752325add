package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is the time from SIGTERM to SIGKILL, and excusedTime the time after SIGTERM up to
	// which a request must have been sent for the excuse of the last sixth of it.
	grace       = 6 * time.Second
	excusedTime = 3 * time.Second
	// sendsTimeout and uploadsTimeout are the time-outs of the routes "sends" and "uploads".
	sendsTimeout   = 2 * time.Second
	uploadsTimeout = 5 * time.Second
	// chunkedCallers is the number of callers at each entry that send bodies in chunks.
	chunkedCallers = 6
)

// stopChunked stops and starts the entries in turn, while callers use connections that they have
// kept open and on which they have sent a body in chunks before.
func stopChunked(d *deployment, trouble bool) verdict {
	if err := d.addServers("desk", 6, 3); err != nil {
		return verdict{
			err: err,
		}
	}
	if err := d.addServers("intake", 6, 3); err != nil {
		return verdict{
			err: err,
		}
	}
	if err := d.startEntries(len(zones)); err != nil {
		return verdict{
			err: err,
		}
	}
	var broken []string
	for _, stopping := range d.entries {
		lost, err := d.stopUnderChunkedLoad(stopping, trouble)
		if err != nil {
			return verdict{
				err: err,
			}
		}
		broken = append(broken, lost...)
	}
	return verdict{
		broken: broken,
	}
}

// stopUnderChunkedLoad stops one entry and starts it again. It returns the requests that were
// lost.
func (d *deployment) stopUnderChunkedLoad(stopping *entry, trouble bool) ([]string, error) {
	var group sync.WaitGroup
	var first, uploads, last results
	var callers []*caller
	for i := range chunkedCallers {
		c := &caller{
			record: d.record,
			entry:  stopping.ip,
		}
		callers = append(callers, c)
		defer c.close()
		group.Go(func() {
			first.add(c.send(call{
				id:       fmt.Sprintf("first-%d-%d", stopping.index, i),
				method:   http.MethodPost,
				path:     "/sends/1",
				body:     strings.Repeat("x", 1200),
				chunked:  true,
				work:     300 * time.Millisecond,
				deadline: 6 * time.Second,
			}))
		})
	}
	group.Wait()
	for _, each := range first.all {
		if each.status != http.StatusOK {
			return nil, fmt.Errorf("request %s was not served before the stop", each.id)
		}
	}
	stoppedAt := time.Now()
	if trouble {
		d.signal(stopping, syscall.SIGTERM)
	}
	// Uploads with a length, which the entry still has to answer, and does.
	for i := range 3 {
		group.Go(func() {
			time.Sleep(time.Until(stoppedAt.Add(2600 * time.Millisecond)))
			c := &caller{
				record: d.record,
				entry:  stopping.ip,
			}
			defer c.close()
			uploads.add(c.send(call{
				id:       fmt.Sprintf("upload-%d-%d", stopping.index, i),
				method:   http.MethodPost,
				path:     "/uploads/1",
				body:     strings.Repeat("x", 8000),
				work:     2400 * time.Millisecond,
				deadline: 5 * time.Second,
			}))
		})
	}
	for i, c := range callers {
		group.Go(func() {
			if i%2 == 0 {
				time.Sleep(time.Until(stoppedAt.Add(3200 * time.Millisecond)))
				uploads.add(c.send(call{
					id:       fmt.Sprintf("chunked-upload-%d-%d", stopping.index, i),
					method:   http.MethodPost,
					path:     "/uploads/2",
					body:     strings.Repeat("x", 8000),
					chunked:  true,
					work:     2400 * time.Millisecond,
					deadline: 5 * time.Second,
				}))
				return
			}
			time.Sleep(time.Until(stoppedAt.Add(4500 * time.Millisecond)))
			last.add(c.send(call{
				id:       fmt.Sprintf("last-%d-%d", stopping.index, i),
				method:   http.MethodPost,
				path:     "/sends/2",
				body:     strings.Repeat("x", 1200),
				chunked:  true,
				work:     1160 * time.Millisecond,
				deadline: 6 * time.Second,
			}))
		})
	}
	group.Wait()
	if trouble {
		if err := d.awaitEnd(stopping, stoppedAt.Add(grace)); err != nil {
			return nil, err
		}
	}
	return append(lostRequests(d, uploads.all, stoppedAt, uploadsTimeout), lostRequests(d, last.all, stoppedAt, sendsTimeout)...), nil
}

// awaitEnd waits until a process that got SIGTERM has ended, kills it at the end of the grace
// period, and starts it again, as the platform does.
func (d *deployment) awaitEnd(stopping *entry, killAt time.Time) error {
	select {
	case <-stopping.exited:
	case <-time.After(time.Until(killAt)):
		d.signal(stopping, syscall.SIGKILL)
		<-stopping.exited
	}
	if err := d.startEntry(stopping, len(d.entries)); err != nil {
		return err
	}
	return d.awaitReady(stopping)
}

// lostRequests returns the requests that a server began to run and whose connection ended
// without a complete answer, before the time-out of their route, unless they were sent so early
// after the stop that work in the last sixth of the grace period excuses it.
func lostRequests(d *deployment, all []result, stoppedAt time.Time, timeout time.Duration) []string {
	var lost []string
	for _, each := range all {
		ran := d.record.ranOn(each.id)
		sent, took := each.sentAt.Sub(stoppedAt), each.endAt.Sub(each.sentAt)
		if each.status != 0 || len(ran) == 0 || took >= timeout || sent <= excusedTime {
			continue
		}
		lost = append(lost, fmt.Sprintf("LOST: %s, sent %s after SIGTERM, was passed on to %s and its connection ended without an answer %s later, %s after SIGTERM",
			each.id, sent.Round(time.Millisecond), ran[0], took.Round(time.Millisecond), each.endAt.Sub(stoppedAt).Round(time.Millisecond)))
	}
	return lost
}
