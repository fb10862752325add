package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lateWork is how long the uploads of stopLate run at a backend server.
const lateWork = 2600 * time.Millisecond

// stopLate stops two entries in turn, while callers send uploads shortly after the time up to
// which the platform excuses work that isn't done at the end.
func stopLate(d *deployment, trouble bool) verdict {
	if err := d.addServers("intake", 6, 3); err != nil {
		return verdict{
			err: err,
		}
	}
	if err := d.startEntries(3); err != nil {
		return verdict{
			err: err,
		}
	}
	var broken []string
	for _, stopping := range d.entries[:2] {
		lost, err := d.stopUnderUploads(stopping, trouble)
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

// stopUnderUploads stops one entry and starts it again. It returns the uploads that were lost.
func (d *deployment) stopUnderUploads(stopping *entry, trouble bool) ([]string, error) {
	stoppedAt := time.Now()
	if trouble {
		d.signal(stopping, syscall.SIGTERM)
	}
	var group sync.WaitGroup
	var uploads results
	for i := range 8 {
		// Each connection is opened before the end of the 3 s, and its request follows up to half a
		// second later: a client allows a new connection one second to be established.
		connectAt, sendAt := stoppedAt.Add(2940*time.Millisecond), stoppedAt.Add(time.Duration(3030+60*i)*time.Millisecond)
		group.Go(func() {
			c := &caller{
				record: d.record,
				entry:  stopping.ip,
			}
			defer c.close()
			time.Sleep(time.Until(connectAt))
			if err := c.connect(); err != nil {
				d.record.log("no connection for upload-%d-%d: %v", stopping.index, i, err)
				return
			}
			time.Sleep(time.Until(sendAt))
			uploads.add(c.send(call{
				id:       fmt.Sprintf("upload-%d-%d", stopping.index, i),
				method:   http.MethodPost,
				path:     "/uploads/1",
				body:     strings.Repeat("x", 8000),
				work:     lateWork,
				deadline: 5 * time.Second,
			}))
		})
	}
	group.Wait()
	if trouble {
		if err := d.awaitEnd(stopping, stoppedAt.Add(grace)); err != nil {
			return nil, err
		}
	}
	return lostRequests(d, uploads.all, stoppedAt, uploadsTimeout), nil
}
