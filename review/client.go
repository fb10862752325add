package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caller is a client with one connection to an entry, which it keeps open.
type caller struct {
	record *record
	ip     string
	entry  string
	conn   net.Conn
	reader *bufio.Reader
}

// call is a request of a client.
type call struct {
	id     string
	method string
	path   string
	body   string
	// chunked sends the body in chunks, and otherwise with its length.
	chunked  bool
	work     time.Duration
	deadline time.Duration
	crash    bool
}

// result is the end of a request.
type result struct {
	id     string
	sentAt time.Time
	endAt  time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	stamp  string
	err    error
}

// connect opens the connection, from an address of the client's own.
func (c *caller) connect() error {
	dialer := net.Dialer{
		Timeout: time.Second,
	}
	if c.ip != "" {
		dialer.LocalAddr = &net.TCPAddr{
			IP: net.ParseIP(c.ip),
		}
	}
	conn, err := dialer.Dial("tcp4", c.entry+":8161")
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// close closes the connection.
func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request on the open connection and waits for its end.
func (c *caller) send(request call) result {
	done := result{
		id:     request.id,
		sentAt: time.Now(),
	}
	if c.conn == nil {
		if done.err = c.connect(); done.err != nil {
			done.endAt = time.Now()
			c.log(request, done)
			return done
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\nCookie: X-Teaselstack-Affinity-Key=%s\r\n",
		request.method, request.path, requestIDHeader, request.id, deadlineHeader, request.deadline.Milliseconds(), workHeader, request.work.Milliseconds(), request.id)
	if request.crash {
		text.WriteString(crashHeader + ": 1\r\n")
	}
	switch {
	case request.chunked:
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(request.body), request.body)
	case request.body != "":
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(request.body), request.body)
	default:
		text.WriteString("\r\n")
	}
	c.record.log("client sends %s (%s %s) to %s", request.id, request.method, request.path, c.entry)
	_ = c.conn.SetDeadline(time.Now().Add(request.deadline + time.Second))
	if _, done.err = io.WriteString(c.conn, text.String()); done.err == nil {
		c.receive(&done)
	}
	done.endAt = time.Now()
	if done.err != nil {
		c.close()
	}
	c.log(request, done)
	return done
}

// receive reads the answer.
func (c *caller) receive(done *result) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		done.err = err
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		done.err = err
		return
	}
	done.status, done.stamp = response.StatusCode, response.Header.Get(stampHeader)
	if done.status == http.StatusOK && string(body) != "answer to "+done.id {
		done.err = errors.New("the body is not that of the server")
	}
	if response.Close {
		c.close()
	}
}

// log records the end of a request.
func (c *caller) log(request call, done result) {
	if done.err != nil {
		c.record.log("client: the connection of %s ends without an answer after %s: %v", request.id, done.endAt.Sub(done.sentAt).Round(time.Millisecond), done.err)
		return
	}
	c.record.log("client gets %d for %s after %s", done.status, request.id, done.endAt.Sub(done.sentAt).Round(time.Millisecond))
}

// results collects the ends of requests.
type results struct {
	mu  sync.Mutex
	all []result
}

// add adds the end of a request.
func (r *results) add(each result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, each)
}
