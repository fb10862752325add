package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// attempt is one client attempt and its end.
type attempt struct {
	id     string
	entry  string
	route  string
	sentAt time.Time
	endAt  time.Time
	// status is that of the answer, 0 if there was none.
	status int
	// leaving reports whether the answer said that its backend leaves, and backend is the ID of
	// the backend that signed it.
	leaving bool
	backend string
	// cut reports whether the entry closed a kept connection without an answer.
	cut bool
}

// route describes the requests that a client sends.
type route struct {
	name     string
	method   string
	path     string
	deadline time.Duration
	perS     float64
}

// clients sends requests to entries as the platform's clients do: on kept connections, to an
// address of the directory that it picks at random, each attempt with its own ID.
type clients struct {
	host       string
	deployment *deployment
	log        *record

	mu       sync.Mutex
	attempts []*attempt
	serial   int
	// idle holds kept connections by address.
	idle map[string][]*clientConn
	// resolved holds the last answers of the directory by zone.
	resolved map[string]resolved
	group    sync.WaitGroup
}

// resolved is an answer of the directory.
type resolved struct {
	addresses []string
	until     time.Time
}

// clientConn is a connection to an entry.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

const (
	// keptTime is how long a client uses an idle connection, four fifths of the idle timeout.
	keptTime = 12 * time.Second
	// connectTime is how long a client waits for a connection.
	connectTime = time.Second
)

// run sends the requests of a route from all zones until ctx is done.
func (c *clients) run(ctx context.Context, sent route) {
	c.group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rand.ExpFloat64() / sent.perS * float64(time.Second)))
			zone := zones[rand.IntN(len(zones))]
			c.group.Go(func() { c.send(zone, sent) })
		}
	})
}

// send makes one attempt.
func (c *clients) send(zone zone, sent route) {
	address := c.resolve(zone)
	if address == "" {
		return
	}
	c.mu.Lock()
	c.serial++
	one := &attempt{
		id:     fmt.Sprintf("%08x%08x", c.serial, rand.Uint32()),
		entry:  address,
		route:  sent.name,
		sentAt: time.Now(),
	}
	c.attempts = append(c.attempts, one)
	c.mu.Unlock()
	c.log.add("sent", one.id, sent.method+" "+sent.path+" to "+address)
	status, answer := c.exchange(address, sent, one.id)
	c.mu.Lock()
	one.endAt, one.status = time.Now(), status
	if answer != nil {
		one.leaving = answer.Get(headerLeaving) != ""
		one.backend, _, _ = cutLast(answer.Get(headerStamp))
	}
	c.mu.Unlock()
	detail := strconv.Itoa(status)
	if one.backend != "" {
		detail += " of " + one.backend
	}
	if one.leaving {
		detail += " leaving"
	}
	c.log.add("answered", one.id, detail)
}

// cutLast cuts a text at its last dot.
func cutLast(text string) (before, after string, found bool) {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == '.' {
			return text[:i], text[i+1:], true
		}
	}
	return text, "", false
}

// exchange sends a request to an entry and returns the status and header of the answer, or 0.
func (c *clients) exchange(address string, sent route, id string) (int, http.Header) {
	conn := c.take(address)
	if conn == nil {
		opened, err := net.DialTimeout("tcp4", address, connectTime)
		if err != nil {
			return 0, nil
		}
		conn = &clientConn{
			Conn:   opened,
			reader: bufio.NewReader(opened),
		}
	}
	_ = conn.SetDeadline(time.Now().Add(sent.deadline))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", sent.method, sent.path, c.host, headerID, id, headerDeadline, sent.deadline.Milliseconds())
	if sent.method == http.MethodPost {
		request += "Content-Length: 4\r\n\r\nbody"
	} else {
		request += "\r\n"
	}
	if _, err := io.WriteString(conn, request); err != nil {
		_ = conn.Close()
		return 0, nil
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{
		Method: sent.method,
	})
	if err != nil {
		_ = conn.Close()
		return 0, nil
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.Close {
		_ = conn.Close()
	} else {
		c.keep(address, conn)
	}
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

// take returns a kept connection to an address, or nil.
func (c *clients) take(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for kept := c.idle[address]; len(kept) > 0; kept = c.idle[address] {
		conn := kept[len(kept)-1]
		c.idle[address] = kept[:len(kept)-1]
		if time.Since(conn.usedAt) < keptTime {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// keep keeps a connection.
func (c *clients) keep(address string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.usedAt = time.Now()
	c.idle[address] = append(c.idle[address], conn)
}

// resolve returns the address of an entry for a client of a zone, or "" if no directory
// answers.
func (c *clients) resolve(from zone) string {
	c.mu.Lock()
	known := c.resolved[from.name]
	c.mu.Unlock()
	if time.Now().After(known.until) {
		query := url.Values{
			"name":   {c.host},
			"region": {from.region},
			"zone":   {from.name},
		}
		for _, entry := range c.deployment.nearest(from) {
			fresh, err := askDirectory("http://" + entry.ip + ":8164/v1/resolve?" + query.Encode())
			if err == nil {
				known = fresh
				c.mu.Lock()
				c.resolved[from.name] = fresh
				c.mu.Unlock()
				break
			}
		}
	}
	if len(known.addresses) == 0 {
		return ""
	}
	return known.addresses[rand.IntN(len(known.addresses))]
}

// askDirectory makes a look-up.
func askDirectory(location string) (resolved, error) {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get(location)
	if err != nil {
		return resolved{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var content struct {
		Addresses []string `json:"addrs"`
		TTL       string   `json:"ttl"`
	}
	if err := json.NewDecoder(response.Body).Decode(&content); err != nil {
		return resolved{}, err
	}
	lifetime, err := time.ParseDuration(content.TTL)
	if err != nil || len(content.Addresses) == 0 {
		return resolved{}, fmt.Errorf("no addresses for %s", location)
	}
	return resolved{
		addresses: content.Addresses,
		until:     time.Now().Add(min(lifetime, 5*time.Second)),
	}, nil
}

// finish waits for the attempts in flight and returns all.
func (c *clients) finish() []*attempt {
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts
}
