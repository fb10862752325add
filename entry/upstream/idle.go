package upstream

import (
	"bufio"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/routing"
)

// getConn returns an idle connection from the pool, or a new one.
func (p *Pool) getConn(ctx context.Context, server *routing.Server, options exchangeOptions) (conn *pooledConn, reused bool, err error) {
	for !options.newConnection {
		from, before := p.usable(server, options)
		idleConn := p.takeIdle(server.Incarnation(), from, before)
		if idleConn == nil {
			break
		}
		state := checkIdle(idleConn.Conn)
		early := p.observeIdle(server.Service, idleConn, state)
		if state == idleReusable {
			return idleConn, true, nil
		}
		if early && p.OnClosed != nil {
			p.OnClosed(server, idleConn.openedAt)
		}
		idleConn.discard()
	}
	if _, before := p.usable(server, options); !before.IsZero() {
		return nil, false, ErrServerUnverified
	}
	conn, err = p.open(ctx, server.Address)
	if err != nil {
		return nil, false, err
	}
	if p.OnOpened != nil {
		p.OnOpened(server)
	}
	_, before := p.usable(server, options)
	switch {
	case p.Eligible != nil && !p.Eligible(server):
		err = ErrServerNotEligible
	case !before.IsZero():
		err = ErrServerUnverified
	default:
		return conn, false, nil
	}
	conn.discard()
	return nil, false, err
}

// observeIdle records how long a connection to a server of a service was idle without being closed. If
// it was closed, observeIdle reports whether that was early: before the time that the server had stated,
// or, if it had stated none, after less time than other connections to the service were kept.
func (p *Pool) observeIdle(service string, conn *pooledConn, state idleState) (early bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idleTime := time.Since(conn.idleSince)
	switch state {
	case idleReusable:
		if p.keptIdle == nil {
			p.keptIdle = make(map[string]time.Duration)
		}
		p.keptIdle[service] = max(p.keptIdle[service], idleTime)
	case idleClosed:
		return conn.stated || idleTime < p.keptIdle[service]
	}
	return false
}

// usable calls Usable. An exchange with any process may use connections however new.
func (p *Pool) usable(server *routing.Server, options exchangeOptions) (from, before time.Time) {
	if p.Usable == nil {
		return time.Time{}, time.Time{}
	}
	from, before = p.Usable(server)
	if options.anyProcess {
		before = time.Time{}
	}
	return from, before
}

// open opens a connection to an address.
func (p *Pool) open(ctx context.Context, address string) (*pooledConn, error) {
	opened, err := p.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	limit := &readLimit{
		conn: opened,
	}
	sender := &resetWatcher{
		conn: opened,
	}
	return &pooledConn{
		Conn:     opened,
		limit:    limit,
		sender:   sender,
		reader:   bufio.NewReaderSize(limit, 4<<10),
		writer:   bufio.NewWriterSize(sender, 4<<10),
		openedAt: time.Now(),
	}, nil
}

// takeIdle removes and returns the idle connection to a server that was added to the pool last among
// those opened from a time on, and before another one unless that is zero; nil if there is none. It
// first closes connections to the server that have expired, starting with the longest idle, up to
// the first that hasn't expired.
func (p *Pool) takeIdle(incarnation routing.Incarnation, from, before time.Time) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[incarnation]
	now := time.Now()
	for len(idle) > 0 && (now.After(idle[0].expires) || idle[0].openedAt.Before(from)) {
		idle[0].discard()
		idle = idle[1:]
		p.idleCount--
	}
	if len(idle) == 0 {
		delete(p.idle, incarnation)
		return nil
	}
	p.idle[incarnation] = idle
	for last := len(idle) - 1; last >= 0; last-- {
		if conn := idle[last]; conn.openedBetween(from, before) {
			p.idle[incarnation] = slices.Delete(idle, last, last+1)
			p.idleCount--
			return conn
		}
	}
	return nil
}

// openedBetween reports whether the connection was opened at a time or later, and before another one
// unless that is zero.
func (c *pooledConn) openedBetween(from, before time.Time) bool {
	return !c.openedAt.Before(from) && (before.IsZero() || c.openedAt.Before(before))
}

// Connected reports whether there is an idle connection to a server that was opened at a time or
// later, and before another one.
func (p *Pool) Connected(incarnation routing.Incarnation, from, before time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(p.idle[incarnation], func(conn *pooledConn) bool {
		return conn.openedBetween(from, before) && !now.After(conn.expires)
	})
}

// putIdle adds a connection to the pool. It closes the connection instead if the pool
// is full or the Keep-Alive timeout in the response is idleTimeoutMargin or less.
func (p *Pool) putIdle(server *routing.Server, conn *pooledConn, responseHeader http.Header) {
	idleTimeout := defaultIdleTimeout
	conn.stated = false
	for part := range strings.SplitSeq(responseHeader.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(text); err == nil {
				idleTimeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
				conn.stated = true
			}
		}
	}
	if idleTimeout <= 0 {
		conn.discard()
		return
	}
	conn.idleSince = time.Now()
	conn.expires = conn.idleSince.Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[routing.Incarnation][]*pooledConn)
	}
	incarnation := server.Incarnation()
	full := p.MaxIdleTotal != nil && p.idleCount >= p.MaxIdleTotal()
	if full || len(p.idle[incarnation]) >= p.MaxIdlePerServer(server.Service) {
		conn.discard()
		return
	}
	p.idle[incarnation] = append(p.idle[incarnation], conn)
	p.idleCount++
}

// CloseStale closes idle connections that have expired and those to server
// incarnations for which registered returns false.
func (p *Pool) CloseStale(registered func(incarnation routing.Incarnation) bool) {
	p.mu.Lock()
	incarnations := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, incarnation := range incarnations {
		// The pool's lock is not held, because the fleet calls Connected with its own held.
		p.closeStale(incarnation, registered(incarnation))
	}
}

// closeStale closes the idle connections to a server that have expired, or all of them if it is not
// registered.
func (p *Pool) closeStale(incarnation routing.Incarnation, registered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	idle := p.idle[incarnation]
	remaining := idle[:0]
	for _, conn := range idle {
		if now.After(conn.expires) || !registered {
			conn.discard()
			p.idleCount--
			continue
		}
		remaining = append(remaining, conn)
	}
	if len(remaining) == 0 {
		delete(p.idle, incarnation)
		return
	}
	p.idle[incarnation] = remaining
}
