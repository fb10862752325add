package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// nestedConfiguration is configuration with a second route below that of the bookings, which is
// safe.
func nestedConfiguration() []byte {
	const bookings = `{"name":"r-book",`
	nested := `{"name":"r-state","prefix":"/bopu901/state/","kind":"safe","timeout":"1200ms","goal":"300ms","priority":2,"service":"` + desk +
		`","attempts":2,"sticky":true,"home_regions":[]},` + bookings
	return bytes.Replace(configuration(3, "1200ms", desk), []byte(bookings), []byte(nested), 1)
}

// playEscapedPath sends bookings whose path has an escaped slash, while backends lose answers. The
// path begins with the prefix of the unsafe route, and not with the longer one of the safe route.
// The rule is TWICE.
func playEscapedPath(d *deployment, callers *clients, trouble bool) ([]string, error) {
	const (
		lossTime  = 4 * time.Second
		lossShare = 0.4
		// lossOf backends of the service lose answers, 0.6 of them at most.
		lossOf = deskBackends * 6 / 10
	)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := startAll(d, nestedConfiguration()); err != nil {
		return nil, err
	}
	callers.run(ctx, route{
		name:     "read",
		method:   http.MethodGet,
		path:     "/gono990/2f",
		deadline: 2500 * time.Millisecond,
		perS:     40,
	})
	callers.run(ctx, route{
		name:     "book",
		method:   http.MethodPost,
		path:     "/bopu901/" + url.PathEscape("state/2f"),
		deadline: 3 * time.Second,
		perS:     40,
	})
	time.Sleep(3 * time.Second)
	for i, each := range d.backends[:deskBackends] {
		if trouble && i < lossOf {
			each.loseAnswers(lossShare)
		}
	}
	time.Sleep(lossTime)
	for _, each := range d.backends {
		each.loseAnswers(0)
	}
	time.Sleep(2 * time.Second)
	stop()
	bookings := make(map[string]*attempt)
	for _, each := range callers.finish() {
		if each.route == "book" {
			bookings[each.id] = each
		}
	}
	fmt.Printf("%d bookings were sent\n", len(bookings))
	runs := make(map[string]string)
	var breaks []string
	for _, each := range d.log.all() {
		sent := bookings[each.who]
		if each.what != "runs" || sent == nil {
			continue
		}
		if before, found := runs[sent.id]; found {
			breaks = append(breaks, fmt.Sprintf("booking %s, answered with %d, was run by %s and again by %s", sent.id, sent.status, before, each.detail))
		}
		runs[sent.id] = each.detail
	}
	return breaks, nil
}
