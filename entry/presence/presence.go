// Package presence tells entries of each other: each writes one row to the
// platform's store, where others find its address, and then sends a datagram
// in each interval that says it lives and serves.
package presence

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/teaselstack/teaselstack/platform"
)

// Member is what an entry tells of itself.
type Member struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Domain string `json:"failure-domain"`
	// Callers is the address for callers, Peers that for datagrams.
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	// Serving says that callers may be sent there.
	Serving bool `json:"serving"`
}

// Roster holds the entries that this one knows of.
type Roster struct {
	// Self returns what this entry tells of itself.
	Self   func() Member
	Store  *platform.Store
	Logger *log.Logger

	mu      sync.Mutex
	members map[string]*member
	send    func(to string, content []byte)
}

type member struct {
	Member
	version uint64
	// heard is when its last datagram came, zero if none did.
	heard time.Time
	found time.Time
	up    bool
}

const (
	// table holds one row for each entry.
	table = "entries"
	// interval is the time between two datagrams to each peer.
	interval = time.Second
	// silence is how long an entry may be silent before callers are no longer
	// sent there: three datagrams in a row lost or late, and less than the time
	// that the platform gives the directory to forget a dead one.
	silence = 3500 * time.Millisecond
	// forget is how long a silent entry is remembered; its row goes then.
	forget = 60 * time.Second
	// listInterval is the time between two readings of the rows, listFirst that
	// while entries may still be starting.
	listInterval = 10 * time.Second
	listFirst    = 1500 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 1500 * time.Millisecond
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 1400
)

// Run exchanges datagrams over conn until ctx is done.
func (r *Roster) Run(ctx context.Context, conn net.PacketConn) {
	r.mu.Lock()
	r.members = make(map[string]*member)
	r.send = func(to string, content []byte) {
		address, err := net.ResolveUDPAddr("udp4", to)
		if err != nil {
			r.Logger.Warn().Str("event", "peer-address-unreadable").Str("address", to).Err(err).Msg("")
			return
		}
		// A datagram that can't be sent is like one that is lost.
		_, _ = conn.WriteTo(content, address)
	}
	r.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { r.receive(conn) })
	group.Go(func() { r.list(ctx) })
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.Tell()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	_ = conn.Close()
	group.Wait()
}

// Tell sends what this entry says of itself to all peers at once.
func (r *Roster) Tell() {
	self := r.Self()
	content, err := json.Marshal(self)
	if err != nil {
		r.Logger.Error().Str("event", "presence-unsent").Err(err).Msg("")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, each := range r.members {
		if name != self.Name {
			r.send(each.Peers, content)
		}
		r.judge(each)
	}
}

// judge notes changes of belief about an entry. The caller holds the lock.
func (r *Roster) judge(each *member) {
	up := time.Since(each.heard) < silence
	if up != each.up {
		each.up = up
		event := "entry-lost"
		if up {
			event = "entry-heard"
		}
		r.Logger.Info().Str("event", event).Str("peer", each.Name).Bool("serving", each.Serving).Int64("age-ms", time.Since(each.heard).Milliseconds()).Msg("")
	}
}

func (r *Roster) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var told Member
		if err := json.Unmarshal(buffer[:count], &told); err != nil || told.Name == "" {
			r.Logger.Warn().Str("event", "datagram-unreadable").Int("bytes", count).Msg("")
			continue
		}
		r.hear(told, time.Now())
	}
}

// hear takes a datagram over.
func (r *Roster) hear(told Member, now time.Time) {
	if told.Name == r.Self().Name {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.members[told.Name]
	if known == nil {
		known = &member{
			found: now,
		}
		r.members[told.Name] = known
	}
	known.Member = told
	known.heard = now
	r.judge(known)
}

// list writes this entry's row and reads those of others.
func (r *Roster) list(ctx context.Context) {
	written := false
	pause := listFirst
	for ctx.Err() == nil {
		if !written {
			written = r.write(ctx)
		}
		if r.read(ctx) && written {
			pause = min(listInterval, 2*pause)
		} else {
			pause = listFirst
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (r *Roster) write(ctx context.Context) bool {
	self := r.Self()
	content, err := json.Marshal(self)
	if err != nil {
		r.Logger.Error().Str("event", "presence-unsent").Err(err).Msg("")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.Store.Put(ctx, table, self.Name, content); err != nil {
		r.Logger.Warn().Str("event", "store-lost").Str("table", table).Err(err).Msg("")
		return false
	}
	return true
}

// read takes the rows over and drops those of entries that are long gone.
func (r *Roster) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := r.Store.Read(ctx, table)
	if err != nil {
		r.Logger.Warn().Str("event", "store-lost").Str("table", table).Err(err).Msg("")
		return false
	}
	now := time.Now()
	self := r.Self().Name
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range all.Rows {
		var told Member
		if err := json.Unmarshal(row.Value, &told); err != nil || told.Name != row.Key {
			r.Logger.Warn().Str("event", "member-unreadable").Str("row", row.Key).Msg("")
			continue
		}
		known := r.members[told.Name]
		if told.Name == self || known != nil && (known.version >= row.Version || known.up) {
			continue
		}
		// A row tells where an entry is, not that it lives.
		told.Serving = false
		r.members[told.Name] = &member{
			Member:  told,
			version: row.Version,
			found:   now,
		}
	}
	return true
}

// Place returns this entry's place among all entries in the order of their
// names, silent ones included, and how many there are.
func (r *Roster) Place() (index, count int) {
	self := r.Self().Name
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.members {
		if name < self {
			index++
		}
	}
	return index, len(r.members) + 1
}

// Serving returns the entries that callers may be sent to, this one included if
// it serves, in the order of their names.
func (r *Roster) Serving() []Member {
	self := r.Self()
	r.mu.Lock()
	defer r.mu.Unlock()
	var serving []Member
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		each := r.members[name]
		if each.Serving && now.Sub(each.heard) < silence {
			serving = append(serving, each.Member)
		}
	}
	if self.Serving {
		serving = append(serving, self)
	}
	return serving
}
