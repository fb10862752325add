// Package presence lets entries discover each other and exchange state. Each entry
// writes one row to the platform's store, with its name, region, failure domain,
// addresses and what must outlive its process, and finds the others by their rows. It then
// sends them UDP datagrams. A datagram holds one encoded teaselv1.Presence, called the
// message, and also serves as a heartbeat: a peer whose datagrams stop is considered dead.
// The message carries the number of the entry's requests in flight at each backend server,
// the servers that it finds failing, its suspect requests (see package quarantine), and
// what servers have stated to it.
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
	// CallerAddress is the address at which the entry serves callers.
	CallerAddress string
	// PeerAddress is the UDP address at which the entry receives datagrams from its peers.
	PeerAddress string
	// Serving reports whether look-ups may name the entry to callers.
	Serving bool
}

// Tracker announces this entry to the other entries, its peers. It tracks the addresses
// of the peers, which of them are alive, and which serve callers.
type Tracker struct {
	// Self returns the current information about this entry.
	Self func() Entry
	// FillPresence, if not nil, adds what this entry knows of backend servers and suspect
	// requests to an outgoing message.
	FillPresence func(*teaselv1.Presence)
	// ApplyPresence, if not nil, is called with each message of a peer, to merge it into
	// what this entry knows of backend servers and suspect requests.
	ApplyPresence func(*teaselv1.Presence)
	// FillRow, if not nil, adds to this entry's row what must outlive its process.
	FillRow func(*teaselv1.Presence)
	// ApplyRow, if not nil, is called with each row that was read, to merge what FillRow
	// added to it. An entry that starts reads the row of its previous process.
	ApplyRow func(*teaselv1.Presence)
	// Store is the platform's store, which holds the entries' rows.
	Store  *platform.Client
	Logger *log.Logger

	// mu guards the fields below, and the peers that they point to.
	mu sync.Mutex
	// peers holds the other entries by name. Run creates it.
	peers map[string]*peer
	// addressesSentAt is the time of the last datagrams that contained this entry's
	// addresses.
	addressesSentAt time.Time
	// conn sends the datagrams. It is nil until Run is called.
	conn net.PacketConn
	// rowChanged is signalled by UpdateRow. It is nil until Run is called.
	rowChanged chan struct{}
}

// peer is another entry as this one sees it.
type peer struct {
	Entry
	// rowPosition is the era and version of the row from which the peer was last read, zero if
	// it is known by its datagrams only.
	rowPosition platform.Position
	// lastHeard is when the peer's last datagram arrived, zero if none did.
	lastHeard time.Time
	// lastSent is when the last datagram was sent to the peer, zero if none was.
	lastSent time.Time
	// sendInterval is the interval at which datagrams are sent to the peer.
	sendInterval time.Duration
	// alive is true if the peer had not timed out at the last call of updateAlive.
	alive bool
}

// timedOut reports whether the peer's last datagram is so old that look-ups no longer
// name the peer. It assumes that the peer sends datagrams at the interval at which this
// entry sends them to the peer.
func (p *peer) timedOut(now time.Time) bool {
	return now.Sub(p.lastHeard) >= max(minPeerTimeout, peerTimeoutIntervals*p.sendInterval)
}

const (
	// entriesTable is the store's table with one row for each entry.
	entriesTable = "entries"
	// minSendInterval is the shortest regular interval of datagrams to a peer, and the
	// interval at which Run checks which datagrams are due.
	minSendInterval = 200 * time.Millisecond
	// sameRegionSpacing and otherRegionSpacing are the mean times between two datagrams
	// of this entry to any peers of its own region, and to any other peers. The interval
	// of datagrams to one peer is the spacing times the number of peers in its group, but
	// at least minSendInterval and at most the maximum interval below. Between these
	// bounds, the rate is about 125 datagrams per second to the entry's own region, with
	// 25 to 125 peers there, and about 40 to all other regions, with 8 to 200 peers there.
	// The rates can reach 185 and 60, because each interval is rounded to a multiple of
	// minSendInterval. With more peers, the maximum intervals apply and the rates grow.
	// The rate to other regions is lower because traffic between regions is the most
	// expensive, and because look-ups name entries of other regions last.
	sameRegionSpacing  = 8 * time.Millisecond
	otherRegionSpacing = 25 * time.Millisecond
	// addressInterval is the interval of the datagrams that contain this entry's addresses.
	// A peer that does not know the entry yet learns the addresses from such a datagram
	// sooner than from the store, since the peer's next read may be maxReadInterval away. An
	// entry that reads the rows of peers it did not know also announces itself to them.
	addressInterval = 6 * time.Second
	// maxSameRegionInterval and maxOtherRegionInterval are the longest intervals of
	// datagrams to a peer of this entry's region and to another peer.
	maxSameRegionInterval  = time.Second
	maxOtherRegionInterval = 5 * time.Second
	// minPeerTimeout is the shortest time without a datagram after which a peer times
	// out. A peer that sends at maxSameRegionInterval stays alive if two datagrams in a
	// row are lost and the third is up to 0.5 s late. Within a region, the timeout is less
	// than the time in which the platform requires look-ups to stop naming a dead entry.
	minPeerTimeout = 3500 * time.Millisecond
	// peerTimeoutIntervals is the number of intervals after which a peer times out, if
	// that is longer than minPeerTimeout.
	peerTimeoutIntervals = 3
	// minReadInterval and maxReadInterval bound the interval at which the rows are read.
	// It grows by readIntervalGrowth after each successful read and returns to
	// minReadInterval after a failure.
	minReadInterval    = 1500 * time.Millisecond
	maxReadInterval    = time.Minute
	readIntervalGrowth = 4
	// minWriteInterval is the shortest time between two writes of this entry's row after
	// changes. Many servers may fail at the same time, each with other requests.
	minWriteInterval = time.Second
	// maxRewriteDelay is the longest time after which an entry writes its row again after the
	// store's return from a copy. All entries learn of it at the same time.
	maxRewriteDelay = 2 * time.Second
	// storeTimeout is the timeout of a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// maxDatagramBytes is the largest size of a datagram's payload. With its headers it
	// fits into an MTU of 1500 bytes and is not fragmented. A larger datagram that arrives
	// is truncated, so it normally fails to decode and is discarded.
	maxDatagramBytes = 1400
	// reservedSuspectBytes is the part of a full datagram that suspect requests take before
	// the lists of backend servers are halved. The longest suspect fits into it, with three
	// names of servers of 200 bytes.
	reservedSuspectBytes = 700
)

// Run announces this entry and tracks the others until ctx is done. It sends and
// receives datagrams over conn, and closes conn at the end.
func (t *Tracker) Run(ctx context.Context, conn net.PacketConn) {
	t.mu.Lock()
	t.peers = make(map[string]*peer)
	t.conn = conn
	rowChanged := make(chan struct{}, 1)
	t.rowChanged = rowChanged
	t.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { t.receive(conn) })
	group.Go(func() { t.syncRows(ctx, rowChanged) })
	for ctx.Err() == nil {
		t.sendDatagrams(false)
		sleep(ctx, minSendInterval)
	}
	if err := conn.Close(); err != nil {
		t.Logger.Warn().Str("event", "peers-unclosed").Err(err).Msg("")
	}
	group.Wait()
}

// sendIntervals returns the intervals of datagrams to each peer of this entry's region,
// which is passed as region, and to each other peer. The caller must hold t.mu.
func (t *Tracker) sendIntervals(region string) (sameRegion, otherRegion time.Duration) {
	inRegion := 0
	for _, peer := range t.peers {
		if peer.Region == region {
			inRegion++
		}
	}
	sameRegion = time.Duration(inRegion) * sameRegionSpacing
	otherRegion = time.Duration(len(t.peers)-inRegion) * otherRegionSpacing
	return min(maxSameRegionInterval, max(minSendInterval, sameRegion)), min(maxOtherRegionInterval, max(minSendInterval, otherRegion))
}

// sleep waits for a duration or until ctx is done, whichever is first.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// UpdateRow makes Run write this entry's row again, because what FillRow adds has changed.
func (t *Tracker) UpdateRow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.rowChanged <- struct{}{}:
	default:
		// Run has not begun, or it has yet to handle the last call.
	}
}

// Announce immediately sends a datagram with this entry's addresses to all peers, so
// that they learn without delay that Serving has changed.
func (t *Tracker) Announce() { t.sendDatagrams(true) }

// sendDatagrams sends a datagram to each peer whose interval, rounded to a multiple of
// minSendInterval, has passed. If announce is true or addressInterval has passed, the
// datagram contains this entry's addresses and goes to all peers. Run calls it every
// minSendInterval.
func (t *Tracker) sendDatagrams(announce bool) {
	withAddresses := t.addressesDue(announce)
	payload, err := t.encodeMessage(withAddresses)
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
		peer.sendInterval = otherRegion
		if peer.Region == region {
			peer.sendInterval = sameRegion
		}
		t.updateAlive(peer, now)
		if withAddresses || now.Sub(peer.lastSent) >= peer.sendInterval-minSendInterval/2 {
			peer.lastSent = now
			t.send(peer, payload)
		}
	}
}

// addressesDue reports whether the next datagrams must contain this entry's addresses:
// if announce is true, or if addressInterval has passed since it last reported true.
func (t *Tracker) addressesDue(announce bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !announce && now.Sub(t.addressesSentAt) < addressInterval {
		return false
	}
	t.addressesSentAt = now
	return true
}

// send sends a datagram to a peer. Errors are ignored, since datagrams may be lost
// anyway.
func (t *Tracker) send(to *peer, payload []byte) {
	destination, err := netip.ParseAddrPort(to.PeerAddress)
	if err != nil || t.conn == nil {
		return
	}
	_, _ = t.conn.WriteTo(payload, net.UDPAddrFromAddrPort(destination))
}

// encodeMessage returns the payload of a datagram, which is the same for all peers. The
// message contains this entry's addresses, region and failure domain if withAddresses is
// true. If it exceeds maxDatagramBytes, encodeMessage drops the last suspect requests, of
// which some keep their place because no other message may carry them, then halves the
// lists of backend servers, and at last the limits, until the message fits.
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
	payload, err := proto.Marshal(message)
	if len(payload) > maxDatagramBytes {
		room := maxDatagramBytes - len(payload) + suspectBytes(message.GetSuspects())
		trimSuspects(message, max(room, reservedSuspectBytes))
		payload, err = proto.Marshal(message)
	}
	for len(payload) > maxDatagramBytes && err == nil {
		if len(message.GetServers())+len(message.GetFailing()) == 0 {
			if len(message.GetLimits()) == 0 {
				return nil, errors.Errorf("message of %d bytes does not fit into a datagram", len(payload))
			}
			message.Limits = message.GetLimits()[:len(message.GetLimits())/2]
		}
		message.Servers = message.GetServers()[:len(message.GetServers())/2]
		message.InFlight = message.GetInFlight()[:len(message.GetInFlight())/2]
		message.Failing = message.GetFailing()[:len(message.GetFailing())/2]
		payload, err = proto.Marshal(message)
	}
	return payload, err
}

// suspectBytes returns the encoded size of suspect requests in a message.
func suspectBytes(suspects []*teaselv1.Suspect) int {
	return proto.Size(&teaselv1.Presence{
		Suspects: suspects,
	})
}

// trimSuspects drops the last suspect requests of a message until the others take at most
// the given number of bytes.
func trimSuspects(message *teaselv1.Presence, maxBytes int) {
	suspects := message.GetSuspects()
	for len(suspects) > 0 && suspectBytes(suspects) > maxBytes {
		suspects = suspects[:len(suspects)-1]
	}
	message.Suspects = suspects
}

// updateAlive updates a peer's alive field. It logs an event if the field changed: the
// peer has timed out, or was heard for the first time or again after a time-out. The
// caller must hold t.mu.
func (t *Tracker) updateAlive(p *peer, now time.Time) {
	silence := now.Sub(p.lastHeard)
	if alive := !p.timedOut(now); alive != p.alive {
		p.alive = alive
		event := "entry-lost"
		if alive {
			event = "entry-heard"
		}
		t.Logger.Info().Str("event", event).Str("peer", p.Name).Bool("serving", p.Serving).Int64("age-ms", silence.Milliseconds()).Msg("")
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

// handleMessage applies the message in a peer's datagram. It ignores messages of this
// entry itself, and messages of an unknown peer without the peer's addresses.
func (t *Tracker) handleMessage(message *teaselv1.Presence) {
	if message.GetName() == t.Self().Name {
		return
	}
	t.mu.Lock()
	sender := t.peers[message.GetName()]
	if sender == nil && message.GetPeers() == "" {
		// The sender becomes known from its row, or from a later datagram that contains
		// its addresses.
		t.mu.Unlock()
		return
	}
	if sender == nil {
		sender = &peer{}
		t.peers[message.GetName()] = sender
	}
	if message.GetPeers() != "" {
		sender.Entry = entryOf(message)
	}
	sender.Serving = message.GetServing()
	sender.lastHeard = time.Now()
	t.updateAlive(sender, sender.lastHeard)
	t.mu.Unlock()
	if t.ApplyPresence != nil {
		t.ApplyPresence(message)
	}
}

// entryOf returns the entry that a datagram's message or a row describes. Rows do not
// contain Serving, so it is false for an entry read from a row.
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
// names, and the number of these entries. Peers that have timed out are included.
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

// ServingEntries returns the entries that look-ups may name to callers: the peers that
// serve and have not timed out, in the order of their names, and then this entry if it
// serves.
func (t *Tracker) ServingEntries() []Entry {
	self := t.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	var serving []Entry
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		peer := t.peers[name]
		if peer.Serving && !peer.timedOut(now) {
			serving = append(serving, peer.Entry)
		}
	}
	if self.Serving {
		serving = append(serving, self)
	}
	return serving
}
