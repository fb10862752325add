package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// greyShare is the share of their requests that grey backends fail, and greyBackends the number
	// of such backends among allBackends.
	greyShare    = 0.45
	greyBackends = 1
	allBackends  = 8
	// bookings is the number of bookings that the clients make.
	bookings = 400
)

// bookRoute is a route of unsafe requests.
const bookRoute = `{"name":"book","prefix":"/book/","kind":"unsafe","timeout":"1500ms","goal":"400ms",
"priority":1,"service":"desk","attempts":2,"sticky":true,"home_regions":[]}`

// bookingRuns counts the runs of client attempts and of the bookings that they make.
type bookingRuns struct {
	mu       sync.Mutex
	attempts map[string]int
	bookings map[string]int
}

// add counts the run of a request.
func (b *bookingRuns) add(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts[r.Header.Get("X-Teaselstack-Request-Id")]++
	b.bookings[r.URL.Path]++
}

// runRefused books with clients that come again after a promise, and checks REFUSED. The disruption
// is that one backend fails part of the requests that it has run.
func runRefused(d *deployment) (broken bool, err error) {
	d.domains["bud-a"], d.domains["deb-b"] = "eu-central", "eu-central"
	if err := d.startPlatform(); err != nil {
		return false, err
	}
	d.publish(bookRoute)
	runs := &bookingRuns{
		attempts: make(map[string]int),
		bookings: make(map[string]int),
	}
	for number := range allBackends {
		zone := []string{"bud-a", "deb-b"}[number%2]
		err := d.startBackend(zone, func(b *backend) {
			b.onRun = runs.add
			if d.trouble && number < greyBackends {
				b.failShare = greyShare
			}
		})
		if err != nil {
			return false, err
		}
	}
	for number, zone := range []string{"bud-a", "deb-b"} {
		if err := d.startEntry("front-"+zone+"-1", zone, 10+number); err != nil {
			return false, err
		}
	}
	refused := &refusedAttempts{}
	client := &http.Client{
		Timeout: clientDeadline,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	var clients sync.WaitGroup
	for number := range bookings {
		clients.Go(func() { d.book(client, refused, number) })
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	runs.mu.Lock()
	defer runs.mu.Unlock()
	for _, id := range refused.ids {
		if runs.attempts[id] > 0 {
			broken = true
			d.record.line("request %s was answered 429 or 503, and has run", id)
		}
	}
	for path, count := range runs.bookings {
		if count > 1 {
			d.record.line("booking %s has run %d times, for attempts with different ids", path, count)
		}
	}
	for id, count := range runs.attempts {
		if count > 1 {
			d.record.line("request %s has run %d times", id, count)
		}
	}
	d.record.line("answers: %v", d.counts)
	return broken, nil
}

// refusedAttempts holds the ids of the requests that were answered with a promise.
type refusedAttempts struct {
	mu  sync.Mutex
	ids []string
}

// add adds an id.
func (r *refusedAttempts) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, id)
}

// book makes a booking. It comes again once after a promise that the request has not run, under
// another id, as the clients of the platform do.
func (d *deployment) book(client *http.Client, refused *refusedAttempts, number int) {
	started := time.Now()
	for attempt := range 2 {
		id := fmt.Sprintf("book-%d-%d", number, attempt)
		left := clientDeadline - time.Since(started)
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:8161/book/%d", d.entries[number%2].ip, number), nil)
		if err != nil {
			return
		}
		request.Host = "desk.example"
		request.Header.Set("X-Teaselstack-Request-Id", id)
		request.Header.Set("X-Teaselstack-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		response, err := client.Do(request)
		if err != nil {
			d.finish(id, "failed")
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		d.finish(id, strconv.Itoa(response.StatusCode))
		switch response.StatusCode {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused.add(id)
		default:
			return
		}
		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err == nil {
			time.Sleep(time.Duration(min(wait, left.Seconds()/3) * float64(time.Second)))
		}
	}
}

// finish records how a request ended.
func (d *deployment) finish(id, end string) {
	d.record.line("request %s ended: %s", id, end)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[end]++
}
