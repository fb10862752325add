package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// keptClient sends bookings in chunks on one connection, which it keeps as long as the entry does.
type keptClient struct {
	callers *clients
	entry   *entry
	trailer bool
	conn    *clientConn
	// served is the number of requests that were answered on the connection.
	served int
}

// bookingPause is the mean time between two bookings of a client.
const bookingPause = 1500 * time.Millisecond

// run sends bookings until ctx is done.
func (k *keptClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(bookingPause/2 + rand.N(bookingPause))
		k.book(3 * time.Second)
	}
	if k.conn != nil {
		_ = k.conn.Close()
	}
}

// book sends one booking and reads the answer.
func (k *keptClient) book(deadline time.Duration) {
	if k.conn == nil {
		opened, err := net.DialTimeout("tcp4", k.entry.address(), connectTime)
		if err != nil {
			return
		}
		k.served = 0
		k.conn = &clientConn{
			Conn:   opened,
			reader: bufio.NewReader(opened),
		}
	}
	c := k.callers
	c.mu.Lock()
	c.serial++
	one := &attempt{
		id:     fmt.Sprintf("%08x%08x", c.serial, rand.Uint32()),
		entry:  k.entry.address(),
		route:  "book",
		sentAt: time.Now(),
	}
	c.attempts = append(c.attempts, one)
	c.mu.Unlock()
	c.log.add("sent", one.id, fmt.Sprintf("POST to %s, request %d of its connection", one.entry, k.served+1))
	status, closed := k.exchange(one.id, deadline)
	c.mu.Lock()
	one.endAt, one.status = time.Now(), status
	one.cut = closed && k.served > 0
	c.mu.Unlock()
	detail := strconv.Itoa(status)
	if closed {
		detail = "the entry closed the connection without an answer"
	}
	c.log.add("answered", one.id, detail)
	k.served++
}

// exchange sends a booking and reads its answer. closed reports whether the entry closed the
// connection without an answer, before the deadline.
func (k *keptClient) exchange(id string, deadline time.Duration) (status int, closed bool) {
	_ = k.conn.SetDeadline(time.Now().Add(deadline))
	header, end := "", ""
	if k.trailer {
		header, end = "Trailer: X-Checksum\r\n", "X-Checksum: 841a2d68\r\n"
	}
	_, err := fmt.Fprintf(k.conn, "POST /bopu901/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n%s\r\n4\r\nbody\r\n0\r\n%s\r\n",
		clientHost, headerID, id, headerDeadline, deadline.Milliseconds(), header, end)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(k.conn.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil || response.Close {
		_ = k.conn.Close()
		k.conn = nil
	}
	if err != nil {
		return 0, !errors.Is(err, os.ErrDeadlineExceeded)
	}
	return response.StatusCode, false
}

// playTrailers lets clients send bookings in chunks with a trailer field, on kept connections. The
// rule is LOST: a machine does not pass a request from a kept connection on to a sound backend and
// close that connection without an answer, more than three times.
func playTrailers(d *deployment, callers *clients, trouble bool) ([]string, error) {
	const (
		clientsPerEntry = 60
		allowed         = 3
	)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := startAll(d, configuration(3, "1200ms", desk)); err != nil {
		return nil, err
	}
	for _, each := range d.entries {
		for range clientsPerEntry {
			kept := &keptClient{
				callers: callers,
				entry:   each,
				trailer: trouble,
			}
			callers.group.Go(func() { kept.run(ctx) })
		}
	}
	time.Sleep(20 * time.Second)
	stop()
	attempts := make(map[string]*attempt)
	for _, each := range callers.finish() {
		attempts[each.id] = each
	}
	cut := 0
	for _, each := range attempts {
		if each.status == 0 {
			cut++
		}
	}
	byEntry := make(map[string][]string)
	for _, each := range d.log.all() {
		if sent := attempts[each.who]; each.what == "runs" && sent != nil && sent.cut {
			byEntry[sent.entry] = append(byEntry[sent.entry], fmt.Sprintf("booking %s was run by %s, and %s closed its kept connection without an answer %.2f s after it was sent",
				sent.id, each.detail, sent.entry, sent.endAt.Sub(sent.sentAt).Seconds()))
		}
	}
	var breaks []string
	for entry, cuts := range byEntry {
		fmt.Printf("%s closed %d kept connections whose booking had been passed on\n", entry, len(cuts))
		if len(cuts) > allowed {
			breaks = append(breaks, cuts...)
		}
	}
	fmt.Printf("%d bookings got no answer\n", cut)
	return breaks, nil
}
