// Package presence lets entries discover each other and exchange state. Each entry
// writes one row with its addresses to the platform's store, where the others find it,
// and sends datagrams to them as heartbeats. The datagrams also carry what the entry
// knows of backend servers.
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

// Entry is the information that an entry publishes about itself.
type Entry struct {
	Name          string
	Region        string
	FailureDomain string
	// CallerAddress is the address for callers.
	CallerAddress string
	// PeerAddress is the UDP address for datagrams from other entries.
	PeerAddress string
	// Serving reports whether callers may be sent to the entry.
	Serving bool
}

// Tracker announces this entry to the others and tracks which of them are alive and
// serve callers.
type Tracker struct {
	// Self returns the current information about this entry.
	Self func() Entry
	// FillPresence, if not nil, adds what this entry knows of backend servers to a
	// message.
	FillPresence func(*teaselv1.Presence)
	// ApplyPresence, if not nil, reads a peer's message.
	ApplyPresence func(*teaselv1.Presence)
	// Store is the platform's store, which holds the entries' rows.
	Store  *platform.Client
	Logger *log.Logger

	mu sync.Mutex
	// peers holds the other entries by name.
	peers map[string]*peer
	// addressesSentAt is when datagrams last contained this entry's addresses.
	addressesSentAt time.Time
	conn            net.PacketConn
}

// peer is another entry.
type peer struct {
	Entry
	// rowVersion is the version of the row that the peer was read from, 0 if it is known
	// by its datagrams only.
	rowVersion uint64
	// lastHeard is when the last datagram came from the peer, zero if none did.
	lastHeard time.Time
	// lastSent is when the last datagram was sent to the peer.
	lastSent time.Time
	// interval is the time between two datagrams to the peer.
	interval time.Duration
	// alive reports whether the peer was not silent when last checked.
	alive bool
}

// isSilent reports whether no datagram has come from the peer for so long that callers
// are not sent to it. It assumes that the peer sends at the same interval.
func (p *peer) isSilent(now time.Time) bool {
	return now.Sub(p.lastHeard) >= max(minSilence, maxMissedIntervals*p.interval)
}

const (
	// entriesTable is the store's table with one row for each entry.
	entriesTable = "entries"
	// minInterval is the shortest time between two datagrams to one peer. It applies in
	// a small fleet.
	minInterval = 200 * time.Millisecond
	// sameRegionSpacing and otherRegionSpacing are the times that each peer in the own
	// region and in another region adds to the interval for all peers there. They limit
	// an entry to 125 and 40 datagrams per second, while the maximum intervals below
	// allow. The rate between regions is lower because those bytes cost most, and
	// because callers are sent to other regions last.
	sameRegionSpacing  = 8 * time.Millisecond
	otherRegionSpacing = 25 * time.Millisecond
	// addressInterval is the time between two datagrams to a peer that contain this
	// entry's addresses. The row contains them too, but is read half as often.
	addressInterval = 6 * time.Second
	// maxSameRegionInterval and maxOtherRegionInterval are the longest times between two
	// datagrams to one peer.
	maxSameRegionInterval  = time.Second
	maxOtherRegionInterval = 5 * time.Second
	// minSilence is how long a peer may be silent before callers are no longer sent to
	// it. It allows for three datagrams in a row lost or late at
	// maxSameRegionInterval, and is less than the time in which the platform requires
	// the directory to drop a dead entry.
	minSilence = 3500 * time.Millisecond
	// maxMissedIntervals is the limit for peers with longer intervals, in place of
	// minSilence, as a number of intervals.
	maxMissedIntervals = 3
	// minReadInterval and maxReadInterval bound the time between two reads of the rows.
	// It doubles with each success and starts again after a failure.
	minReadInterval = 1500 * time.Millisecond
	maxReadInterval = 12 * time.Second
	// storeTimeout is the timeout of a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// maxDatagramBytes is the largest size of a datagram. Datagrams of this size are not
	// fragmented.
	maxDatagramBytes = 1400
)

// Run announces this entry and tracks the others until ctx is done. It sends and
// receives datagrams over conn, and closes conn at the end.
func (t *Tracker) Run(ctx context.Context, conn net.PacketConn) {
	t.mu.Lock()
	t.peers = make(map[string]*peer)
	t.conn = conn
	t.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { t.receive(conn) })
	group.Go(func() { t.syncRows(ctx) })
	for ctx.Err() == nil {
		t.sendDatagrams(false)
		sleep(ctx, minInterval)
	}
	if err := conn.Close(); err != nil {
		t.Logger.Warn().Str("event", "peers-unclosed").Err(err).Msg("")
	}
	group.Wait()
}

// sendIntervals returns the times between two datagrams to a peer in the given region,
// this entry's own, and to one in another region. The caller holds the lock.
func (t *Tracker) sendIntervals(region string) (sameRegion, otherRegion time.Duration) {
	inRegion := 0
	for _, peer := range t.peers {
		if peer.Region == region {
			inRegion++
		}
	}
	sameRegion = time.Duration(inRegion) * sameRegionSpacing
	otherRegion = time.Duration(len(t.peers)-inRegion) * otherRegionSpacing
	return min(maxSameRegionInterval, max(minInterval, sameRegion)), min(maxOtherRegionInterval, max(minInterval, otherRegion))
}

// sleep waits for a time or until ctx is done, whichever is first.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Broadcast sends a datagram with this entry's addresses to all peers at once.
func (t *Tracker) Broadcast() { t.sendDatagrams(true) }

// sendDatagrams sends a datagram to the peers whose interval has passed, or to all peers
// if all is true or if the datagram contains this entry's addresses.
func (t *Tracker) sendDatagrams(all bool) {
	withAddresses := t.addressesDue(all)
	content, err := t.encodeMessage(withAddresses)
	if err != nil {
		t.Logger.Error().Str("event", "presence-unsent").Err(err).Msg("")
		return
	}
	region := t.Self().Region
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	sameRegion, otherRegion := t.sendIntervals(region)
	for _, peer := range t.peers {
		peer.interval = otherRegion
		if peer.Region == region {
			peer.interval = sameRegion
		}
		t.updateState(peer, now)
		if withAddresses || now.Sub(peer.lastSent) >= peer.interval-minInterval/2 {
			peer.lastSent = now
			t.send(peer, content)
		}
	}
}

// addressesDue reports whether the next datagrams are to contain this entry's addresses,
// and if so records that they do.
func (t *Tracker) addressesDue(all bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !all && now.Sub(t.addressesSentAt) < addressInterval {
		return false
	}
	t.addressesSentAt = now
	return true
}

// send sends a datagram to a peer. Errors are ignored, since datagrams may be lost
// anyway.
func (t *Tracker) send(to *peer, content []byte) {
	address, err := netip.ParseAddrPort(to.PeerAddress)
	if err != nil || t.conn == nil {
		return
	}
	_, _ = t.conn.WriteTo(content, net.UDPAddrFromAddrPort(address))
}

// encodeMessage returns the datagram for all peers, with this entry's addresses, region
// and failure domain if withAddresses is true. Suspects, and then halves of the lists of
// backend servers, are dropped until it fits into maxDatagramBytes.
func (t *Tracker) encodeMessage(withAddresses bool) ([]byte, error) {
	self := t.Self()
	message := &teaselv1.Presence{
		Name:    self.Name,
		Serving: self.Serving,
	}
	if withAddresses {
		message.Region = self.Region
		message.FailureDomain = self.FailureDomain
		message.Callers = self.CallerAddress
		message.Peers = self.PeerAddress
	}
	if t.FillPresence != nil {
		t.FillPresence(message)
	}
	content, err := proto.Marshal(message)
	if len(content) > maxDatagramBytes {
		message.Suspects = nil
		content, err = proto.Marshal(message)
	}
	for len(content) > maxDatagramBytes && err == nil {
		message.Servers = message.GetServers()[:len(message.GetServers())/2]
		message.InFlight = message.GetInFlight()[:len(message.GetInFlight())/2]
		message.Failing = message.GetFailing()[:len(message.GetFailing())/2]
		content, err = proto.Marshal(message)
	}
	return content, err
}

// updateState logs an event if a peer has become silent or is heard again. The caller
// holds the lock.
func (t *Tracker) updateState(known *peer, now time.Time) {
	age := now.Sub(known.lastHeard)
	if alive := !known.isSilent(now); alive != known.alive {
		known.alive = alive
		event := "entry-lost"
		if alive {
			event = "entry-heard"
		}
		t.Logger.Info().Str("event", event).Str("peer", known.Name).Bool("serving", known.Serving).Int64("age-ms", age.Milliseconds()).Msg("")
	}
}

// receive handles datagrams from conn until it is closed.
func (t *Tracker) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.Logger.Warn().Str("event", "datagram-lost").Err(err).Msg("")
			continue
		}
		var message teaselv1.Presence
		if err := proto.Unmarshal(buffer[:count], &message); err != nil || message.GetName() == "" {
			t.Logger.Warn().Str("event", "datagram-unreadable").Int("bytes", count).Msg("")
			continue
		}
		t.handleMessage(&message)
	}
}

// handleMessage applies a datagram from a peer. One from an unknown peer without its
// addresses is ignored.
func (t *Tracker) handleMessage(message *teaselv1.Presence) {
	if message.GetName() == t.Self().Name {
		return
	}
	t.mu.Lock()
	known := t.peers[message.GetName()]
	if known == nil && message.GetPeers() == "" {
		// The sender's row or a later datagram will contain its addresses.
		t.mu.Unlock()
		return
	}
	if known == nil {
		known = &peer{}
		t.peers[message.GetName()] = known
	}
	if message.GetPeers() != "" {
		known.Entry = entryOf(message)
	}
	known.Serving = message.GetServing()
	known.lastHeard = time.Now()
	t.updateState(known, known.lastHeard)
	t.mu.Unlock()
	if t.ApplyPresence != nil {
		t.ApplyPresence(message)
	}
}

// entryOf returns the entry that a message or row describes.
func entryOf(message *teaselv1.Presence) Entry {
	return Entry{
		Name:          message.GetName(),
		Region:        message.GetRegion(),
		FailureDomain: message.GetFailureDomain(),
		CallerAddress: message.GetCallers(),
		PeerAddress:   message.GetPeers(),
		Serving:       message.GetServing(),
	}
}

// Position returns this entry's index among all known entries in the order of their
// names, silent ones included, and the number of entries.
func (t *Tracker) Position() (index, count int) {
	self := t.Self().Name
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.peers {
		if name < self {
			index++
		}
	}
	return index, len(t.peers) + 1
}

// ServingEntries returns the entries that callers may be sent to: the peers that serve
// and are not silent, in the order of their names, and then this entry if it serves.
func (t *Tracker) ServingEntries() []Entry {
	self := t.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	var serving []Entry
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		peer := t.peers[name]
		if peer.Serving && !peer.isSilent(now) {
			serving = append(serving, peer.Entry)
		}
	}
	if self.Serving {
		serving = append(serving, self)
	}
	return serving
}
