package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// uploadPrefix is the prefix of the uploads' route.
	uploadPrefix = "/pule252/"
	// lineBytes is the length of the lines of an upload's body, each of which holds its number.
	lineBytes = 8
	// uploadPieceBytes and uploadPieceTime are the size of the pieces in which a client sends an
	// upload, and the time between two: 20 Mbit/s.
	uploadPieceBytes = 16 << 10
	uploadPieceTime  = 6500 * time.Microsecond
	// earlyAnswerBytes is the size of the answer with which a backend rejects an upload early.
	earlyAnswerBytes = 5000
	// earlyReadBytes is how much of an upload a backend reads before it answers early, and
	// readLaterTime how long after the answer it reads on.
	earlyReadBytes = 16 << 10
	readLaterTime  = 20 * time.Millisecond
)

// uploadBody returns the body of an upload of a size.
func uploadBody(size int) []byte {
	var body bytes.Buffer
	for line := 0; body.Len() < size; line++ {
		fmt.Fprintf(&body, "%0*d\n", lineBytes-1, line)
	}
	return body.Bytes()[:size]
}

// bodyCheck compares what a backend reads of an upload with what the client sends.
type bodyCheck struct {
	read  int
	wrong int
}

// Write compares the next bytes.
func (c *bodyCheck) Write(content []byte) (int, error) {
	for _, char := range content {
		line := fmt.Sprintf("%0*d\n", lineBytes-1, c.read/lineBytes)
		if char != line[c.read%lineBytes] && c.wrong < 0 {
			c.wrong = c.read
		}
		c.read++
	}
	return len(content), nil
}

// readBody reads the body of a request, and records what it gets of an upload. It reports whether
// the body is complete.
func (b *backend) readBody(r *http.Request, id string) bool {
	if !strings.HasPrefix(r.URL.Path, uploadPrefix) {
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	check := &bodyCheck{
		wrong: -1,
	}
	_, err := io.Copy(check, r.Body)
	detail := fmt.Sprintf("%d bytes", check.read)
	if err != nil {
		detail += ", broken off"
	} else {
		detail += ", complete"
	}
	if check.wrong >= 0 {
		detail += fmt.Sprintf(", other bytes from %d on", check.wrong)
	}
	b.log.add("body", id, detail+" at "+b.id)
	return err == nil
}

// rejectEarly answers an upload before it is in, keeps the connection, and reads on later.
func (b *backend) rejectEarly(w http.ResponseWriter, r *http.Request, id string) {
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		panic(http.ErrAbortHandler)
	}
	b.log.add("arrives", id, b.id)
	body := bufio.NewReaderSize(r.Body, earlyReadBytes)
	_, _ = body.Peek(earlyReadBytes)
	b.log.add("early", id, b.id)
	w.Header().Set(headerStamp, b.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(earlyAnswerBytes))
	w.WriteHeader(http.StatusUnprocessableEntity)
	_, _ = w.Write(bytes.Repeat([]byte("x"), earlyAnswerBytes))
	_ = http.NewResponseController(w).Flush()
	time.Sleep(readLaterTime)
	r.Body = io.NopCloser(body)
	b.readBody(r, id)
}

// answerEarly sets the share of the uploads that are answered early.
func (b *backend) answerEarly(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earlyShare = share
}

// upload sends one upload, with a length or in chunks, on a connection of its own, and reads the
// answer meanwhile.
func (c *clients) upload(address string, size int, chunked bool, deadline time.Duration) *attempt {
	c.mu.Lock()
	c.serial++
	one := &attempt{
		id:     fmt.Sprintf("%08x%08x", c.serial, rand.Uint32()),
		entry:  address,
		route:  "upload",
		sentAt: time.Now(),
	}
	c.attempts = append(c.attempts, one)
	c.mu.Unlock()
	c.log.add("sent", one.id, fmt.Sprintf("POST %s to %s, %d bytes, chunked: %t", uploadPrefix, address, size, chunked))
	conn, err := net.DialTimeout("tcp4", address, connectTime)
	if err != nil {
		return one
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	c.group.Go(func() {
		_, err := fmt.Fprintf(conn, "POST %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n",
			uploadPrefix, c.host, headerID, one.id, headerDeadline, deadline.Milliseconds(), framing)
		for rest := uploadBody(size); len(rest) > 0 && err == nil; {
			piece := rest[:min(len(rest), uploadPieceBytes)]
			rest = rest[len(piece):]
			if chunked {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
			} else {
				_, err = conn.Write(piece)
			}
			time.Sleep(uploadPieceTime)
		}
		if chunked && err == nil {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			c.mu.Lock()
			one.status, one.endAt = response.StatusCode, time.Now()
			c.mu.Unlock()
		}
	}
	c.log.add("answered", one.id, strconv.Itoa(one.status))
	return one
}

// uploadConfiguration is configuration with a route for uploads.
func uploadConfiguration() []byte {
	const bookings = `{"name":"r-book",`
	uploads := `{"name":"r-upload","prefix":"` + uploadPrefix + `","kind":"upload","timeout":"3000ms","goal":"400ms","priority":1,"service":"` + intake +
		`","attempts":2,"sticky":true,"home_regions":[]},` + bookings
	return bytes.Replace(configuration(3, "1200ms", desk), []byte(bookings), []byte(uploads), 1)
}

// playEarlyAnswer sends long uploads to backends, some of which answer before the body is in and
// read on later. The rule is UNASKED: such a backend gets no other bytes where the rest of that
// body is due.
func playEarlyAnswer(d *deployment, callers *clients, trouble bool) ([]string, error) {
	const (
		earlyTime  = 6 * time.Second
		earlyShare = 0.4
		// earlyOf backends of the service answer early, 0.7 of them at most.
		earlyOf     = intakeBackends * 7 / 10
		uploadsPerS = 8
		deadline    = 3 * time.Second
	)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := startAll(d, uploadConfiguration()); err != nil {
		return nil, err
	}
	callers.run(ctx, route{
		name:     "read",
		method:   http.MethodGet,
		path:     "/gono990/2f",
		deadline: 2500 * time.Millisecond,
		perS:     40,
	})
	callers.group.Go(func() {
		for count := 0; ctx.Err() == nil; count++ {
			from := zones[rand.IntN(len(zones))]
			callers.group.Go(func() {
				if address := callers.resolve(from); address != "" {
					callers.upload(address, 600_000+rand.IntN(200_000), count%2 == 0, deadline)
				}
			})
			time.Sleep(time.Second / uploadsPerS)
		}
	})
	time.Sleep(3 * time.Second)
	for i, each := range d.backends[deskBackends:] {
		if trouble && i < earlyOf {
			each.answerEarly(earlyShare)
		}
	}
	time.Sleep(earlyTime)
	for _, each := range d.backends {
		each.answerEarly(0)
	}
	time.Sleep(3 * time.Second)
	stop()
	uploads := make(map[string]*attempt)
	for _, each := range callers.finish() {
		if each.route == "upload" {
			uploads[each.id] = each
		}
	}
	var breaks []string
	early := 0
	for _, each := range d.log.all() {
		sent := uploads[each.who]
		switch {
		case sent == nil:
		case each.what == "early":
			early++
		case each.what == "body" && strings.Contains(each.detail, "other bytes"):
			breaks = append(breaks, fmt.Sprintf("upload %s, answered with %d: the backend got %s", sent.id, sent.status, each.detail))
		}
	}
	fmt.Printf("%d uploads were sent, %d answered early\n", len(uploads), early)
	return breaks, nil
}
