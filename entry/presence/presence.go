// Package presence tells entries of each other: each writes one row to the
// platform's store, where others find its address, and then sends datagrams
// that say that it lives, and what it knows of backend servers.
package presence

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/platform"
)

// Entry is what an entry tells of itself.
type Entry struct {
	Name          string
	Region        string
	FailureDomain string
	// CallerAddress is the address for callers, Peers that for datagrams.
	CallerAddress string
	PeerAddress   string
	// Serving says that callers may be sent there.
	Serving bool
}

// Tracker holds the entries that this one knows of.
type Tracker struct {
	// Self returns what this entry tells of itself.
	Self func() Entry
	// FillPresence adds what this entry knows of backend servers to a message, Learn takes
	// over what a peer told; either may be nil.
	FillPresence  func(*teaselv1.Presence)
	ApplyPresence func(*teaselv1.Presence)
	// Store keeps the rows.
	Store  *platform.Client
	Logger *log.Logger

	mu      sync.Mutex
	members map[string]*member
	// introduced is when this entry last told where it is.
	introduced time.Time
	conn       net.PacketConn
}

type member struct {
	Entry
	// version is that of the member's row, 0 if only datagrams came.
	version uint64
	// heard is when its last datagram came, zero if none did.
	heard time.Time
	// sent is when the last datagram went there, interval the time between two.
	sent     time.Time
	interval time.Duration
	up       bool
}

// silent reports whether a peer has not been heard for too long.
func (m *member) silent(now time.Time) bool {
	return now.Sub(m.heard) >= max(silence, silentIntervals*m.interval)
}

const (
	// table holds one row for each entry.
	table = "entries"
	// minInterval is the time between two datagrams to one peer in a small fleet.
	minInterval = 200 * time.Millisecond
	// nearInterval and farInterval are what each peer in the own region, and each in
	// others, adds to the time between two datagrams to all of them: an entry sends
	// 125 and 40 a second at most while the bounds below allow. Bytes between
	// regions cost most, and callers are sent to other regions last.
	nearInterval = 8 * time.Millisecond
	farInterval  = 25 * time.Millisecond
	// introduceInterval is the time between two datagrams that say where this entry
	// is; its row says it too, which is read twice as seldom.
	introduceInterval = 6 * time.Second
	// nearMost and farMost bound that time.
	nearMost = time.Second
	farMost  = 5 * time.Second
	// silence is how long a peer may be silent before callers are no longer sent
	// there: three datagrams in a row lost or late at the longest interval in a
	// region, and less than the time that the platform gives the directory to forget
	// a dead one. For peers that are told less often it is silentIntervals of theirs.
	silence         = 3500 * time.Millisecond
	silentIntervals = 3
	// listFirst and listMost bound the time between two readings of the rows; it
	// doubles while nothing fails.
	listFirst = 1500 * time.Millisecond
	listMost  = 12 * time.Second
	// callTimeout bounds a call to the store.
	callTimeout = 1500 * time.Millisecond
	// maxDatagram bounds a datagram, in bytes: what goes through without being cut
	// into pieces.
	maxDatagram = 1400
)

// Run exchanges datagrams over conn until ctx is done, and closes conn.
func (r *Tracker) Run(ctx context.Context, conn net.PacketConn) {
	r.mu.Lock()
	r.members = make(map[string]*member)
	r.conn = conn
	r.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { r.receive(conn) })
	group.Go(func() { r.list(ctx) })
	for ctx.Err() == nil {
		r.tell(false)
		sleep(ctx, minInterval)
	}
	if err := conn.Close(); err != nil {
		r.Logger.Warn().Str("event", "peers-unclosed").Err(err).Msg("")
	}
	group.Wait()
}

// intervals returns the time between two datagrams to a peer of the own region
// and to one of another. The caller holds the lock.
func (r *Tracker) intervals(region string) (near, far time.Duration) {
	peers := 0
	for _, each := range r.members {
		if each.Region == region {
			peers++
		}
	}
	near = time.Duration(peers) * nearInterval
	far = time.Duration(len(r.members)-peers) * farInterval
	return min(nearMost, max(minInterval, near)), min(farMost, max(minInterval, far))
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Broadcast sends what this entry knows to all peers at once.
func (r *Tracker) Broadcast() { r.tell(true) }

// tell sends what this entry knows to the peers whose turn it is, or to all.
func (r *Tracker) tell(all bool) {
	introduce := r.introduces(all)
	content, err := r.message(introduce)
	if err != nil {
		r.Logger.Error().Str("event", "presence-unsent").Err(err).Msg("")
		return
	}
	region := r.Self().Region
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	near, far := r.intervals(region)
	for _, each := range r.members {
		each.interval = far
		if each.Region == region {
			each.interval = near
		}
		r.judge(each, now)
		if introduce || now.Sub(each.sent) >= each.interval-minInterval/2 {
			each.sent = now
			r.send(each, content)
		}
	}
}

// introduces reports whether the next datagrams say where this entry is.
func (r *Tracker) introduces(all bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !all && now.Sub(r.introduced) < introduceInterval {
		return false
	}
	r.introduced = now
	return true
}

// send sends a datagram. One that can't be sent is like one that is lost.
func (r *Tracker) send(to *member, content []byte) {
	address, err := netip.ParseAddrPort(to.PeerAddress)
	if err != nil || r.conn == nil {
		return
	}
	_, _ = r.conn.WriteTo(content, net.UDPAddrFromAddrPort(address))
}

// message returns the datagram for all peers. One that introduces says where this
// entry is, too. What does not fit is left out.
func (r *Tracker) message(introduce bool) ([]byte, error) {
	self := r.Self()
	told := &teaselv1.Presence{
		Name:    self.Name,
		Serving: self.Serving,
	}
	if introduce {
		told.Region = self.Region
		told.FailureDomain = self.FailureDomain
		told.Callers = self.CallerAddress
		told.Peers = self.PeerAddress
	}
	if r.FillPresence != nil {
		r.FillPresence(told)
	}
	content, err := proto.Marshal(told)
	if len(content) > maxDatagram {
		told.Suspects = nil
		content, err = proto.Marshal(told)
	}
	for len(content) > maxDatagram && err == nil {
		told.Servers = told.GetServers()[:len(told.GetServers())/2]
		told.InFlight = told.GetInFlight()[:len(told.GetInFlight())/2]
		told.Failing = told.GetFailing()[:len(told.GetFailing())/2]
		content, err = proto.Marshal(told)
	}
	return content, err
}

// judge notes changes of belief about an entry. The caller holds the lock.
func (r *Tracker) judge(each *member, now time.Time) {
	age := now.Sub(each.heard)
	if up := !each.silent(now); up != each.up {
		each.up = up
		event := "entry-lost"
		if up {
			event = "entry-heard"
		}
		r.Logger.Info().Str("event", event).Str("peer", each.Name).Bool("serving", each.Serving).Int64("age-ms", age.Milliseconds()).Msg("")
	}
}

func (r *Tracker) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.Logger.Warn().Str("event", "datagram-lost").Err(err).Msg("")
			continue
		}
		var told teaselv1.Presence
		if err := proto.Unmarshal(buffer[:count], &told); err != nil || told.GetName() == "" {
			r.Logger.Warn().Str("event", "datagram-unreadable").Int("bytes", count).Msg("")
			continue
		}
		r.hear(&told)
	}
}

// hear takes a datagram over.
func (r *Tracker) hear(told *teaselv1.Presence) {
	if told.GetName() == r.Self().Name {
		return
	}
	r.mu.Lock()
	known := r.members[told.GetName()]
	if known == nil && told.GetPeers() == "" {
		// Where the sender is, its row or a later datagram will say.
		r.mu.Unlock()
		return
	}
	if known == nil {
		known = &member{}
		r.members[told.GetName()] = known
	}
	if told.GetPeers() != "" {
		known.Entry = memberOf(told)
	}
	known.Serving = told.GetServing()
	known.heard = time.Now()
	r.judge(known, known.heard)
	r.mu.Unlock()
	if r.ApplyPresence != nil {
		r.ApplyPresence(told)
	}
}

func memberOf(told *teaselv1.Presence) Entry {
	return Entry{
		Name:          told.GetName(),
		Region:        told.GetRegion(),
		FailureDomain: told.GetFailureDomain(),
		CallerAddress: told.GetCallers(),
		PeerAddress:   told.GetPeers(),
		Serving:       told.GetServing(),
	}
}

// Position returns this entry's place among all entries in the order of their
// names, silent ones included, and how many there are.
func (r *Tracker) Position() (index, count int) {
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

// ServingEntries returns the entries that callers may be sent to, this one included if
// it serves, in the order of their names.
func (r *Tracker) ServingEntries() []Entry {
	self := r.Self()
	r.mu.Lock()
	defer r.mu.Unlock()
	var serving []Entry
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		each := r.members[name]
		if each.Serving && !each.silent(now) {
			serving = append(serving, each.Entry)
		}
	}
	if self.Serving {
		serving = append(serving, self)
	}
	return serving
}
