package slot

import (
	"context"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/timeline"
)

// The rules that keep the sum of slots in use within a backend server's slots.
//
// Failure domains are cut off from each other, never within. So there are two
// kinds of seats.
//
// A home in the server's own failure domain owns all slots and needs no lease: a
// deputy that is cut off from it is cut off from the server as well. Takeover: a
// deputy that reaches the failure domain all the while that the home is silent
// knows that the home is dead or paused, not cut. It takes all slots once the
// work that the home may have left has passed its deadline, and only while that
// evidence lasts. A home that was paused notices the jump of its clock before it
// starts anything, and starts nothing until the deputy has answered.
//
// Where the failure domain has no entry VM, home and deputy may be cut off from
// each other while both reach the server. Their parts sum to the slots, and each
// may use its own while it hears nothing of the other. Lease: the home asks for
// the deputy's part with each heartbeat, for a length counted from its own
// sending. The deputy that grants starts nothing until the lease has surely ended
// and the work that it let begin has passed its deadline. The two clocks need the
// same rate, within driftMargin, but never the same time. See Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency" (1989).
const (
	// leaseLength is how long the home asks for.
	leaseLength = 3 * time.Second
	// driftMargin is the divisor that makes the deputy wait longer than a length;
	// it covers clocks whose rates differ by less than a sixteenth.
	driftMargin = 16
	// pauseLimit is the jump between two readings of the clock that counts as a
	// pause. It is below silenceLimit, so that no home is taken over unawares.
	pauseLimit = 2 * time.Second
	// silenceLimit is how long a home is silent, in a failure domain that is
	// reached, before its deputy takes over.
	silenceLimit = 4 * time.Second
	// reachLimit is how old the last sign of a failure domain may be.
	reachLimit = 2500 * time.Millisecond
	// strandedLimit is how long an entry is silent before it counts as gone where
	// it might use its part of a server's slots without being heard.
	strandedLimit = 10 * time.Minute
	// tickInterval is the time between two checks of clocks and leases.
	tickInterval = 250 * time.Millisecond
)

// peer is the entry that holds the other seat of some backend servers.
type peer struct {
	name          string
	failureDomain string
	// heard is when it last sent or answered a heartbeat.
	heard time.Time

	// confirmed says that the peer, as deputy, has answered since this entry
	// started or was paused, at unconfirmed.
	confirmed   bool
	unconfirmed time.Time
	// granted is when the lease of the peer's part ends.
	granted time.Time
	// asked is the sending time of the newest ask that was answered.
	asked time.Time
	// inUse holds the slots that the peer had in use when it answered that ask,
	// which came at the time told.
	inUse map[string]int
	told  time.Time

	// held is when the lease that this entry granted to the peer has surely ended.
	held time.Time
	// stale says that this entry was paused and neither the peer, as home, nor a
	// newer configuration has confirmed its seat since.
	stale bool
	// takeover says that this entry acts for the peer, which is dead or paused,
	// since the time taken.
	takeover bool
	taken    time.Time
}

// reach is a failure domain's signs of life, without a gap above reachLimit
// since the first.
type reach struct {
	first time.Time
	last  time.Time
}

// withMargin lengthens a wait for what another clock measures.
func withMargin(length time.Duration) time.Duration {
	return length + length/driftMargin
}

// peer returns the record of an entry. A new one counts as just granted and not
// yet confirmed: an earlier incarnation of this entry may have granted a lease,
// and the peer may have taken over.
func (l *Ledger) peer(name, failureDomain string, now time.Time) *peer {
	known := l.peers[name]
	if known == nil {
		known = &peer{
			name:        name,
			unconfirmed: now,
			held:        now.Add(withMargin(leaseLength)),
		}
		l.peers[name] = known
	}
	known.failureDomain = failureDomain
	return known
}

// observe reads the clock and notices a pause of this process. The caller holds
// the lock. Wall time is compared too: the monotonic clock of a suspended VM may
// stand still.
func (l *Ledger) observe() time.Time {
	now := l.now()
	gap := max(now.Sub(l.observed), now.Round(0).Sub(l.observed.Round(0)))
	if !l.observed.IsZero() && gap > pauseLimit {
		l.wake(now, gap)
	}
	l.observed = now
	return now
}

func (l *Ledger) now() time.Time {
	if l.Clock != nil {
		return l.Clock()
	}
	return time.Now()
}

func (l *Ledger) wake(now time.Time, gap time.Duration) {
	l.woken = now
	for _, known := range l.peers {
		known.confirmed = false
		known.unconfirmed = now
		known.granted = time.Time{}
		known.takeover = false
		known.stale = true
	}
	clear(l.reached)
	l.Events.Record(timeline.Event{
		Kind:   "slot-pause",
		Detail: "length=" + gap.Round(time.Millisecond).String(),
	})
}

// usable returns how many slots of a server this entry may have in use. The
// caller holds the lock.
func (l *Ledger) usable(known *server, now time.Time) int {
	slots := known.intent.Slots
	switch {
	case l.LeasesEnabled && !known.settled:
		return 0
	case !l.LeasesEnabled || known.other == nil:
		slots = alone(known)
	case known.role == RoleHome:
		slots = homeUsable(known, now)
	default:
		slots = l.deputyUsable(known, now)
	}
	return min(slots, known.warmSlots(now))
}

func alone(known *server) int {
	if known.role == RoleHome {
		return known.intent.Slots
	}
	return 0
}

func homeUsable(known *server, now time.Time) int {
	deputy := known.other
	if !deputy.confirmed && now.Before(deputy.unconfirmed.Add(withMargin(reachLimit+silenceLimit+known.deadline))) {
		return 0
	}
	slots := known.intent.Slots
	if !known.takeable && !now.Before(deputy.granted) {
		slots = known.part
	}
	if now.Before(deputy.told.Add(withMargin(known.deadline))) {
		slots = min(slots, known.intent.Slots-deputy.inUse[known.intent.Name])
	}
	return max(0, slots)
}

func (l *Ledger) deputyUsable(known *server, now time.Time) int {
	home := known.other
	l.judge(home, now)
	work := withMargin(known.deadline)
	switch {
	case known.takeable && home.takeover && now.After(home.taken.Add(work)):
		return known.intent.Slots
	case known.takeable || home.stale || now.Sub(home.held) > strandedLimit:
		return 0
	case now.After(home.held.Add(work)):
		return known.part
	}
	return 0
}

// judge begins or ends the takeover of a peer by the evidence at hand.
func (l *Ledger) judge(home *peer, now time.Time) {
	dead := l.dead(home, now)
	if dead == home.takeover {
		return
	}
	home.takeover = dead
	kind := "slot-takeover-end"
	if dead {
		home.taken = now
		kind = "slot-takeover"
	}
	l.Events.Record(timeline.Event{
		Kind:   kind,
		Detail: "entry=" + home.name,
	})
}

// dead reports whether a peer was silent for silenceLimit while its failure
// domain was reached and this entry was not paused. An entry that knows of a
// newer configuration than its own can't tell who should be alive.
func (l *Ledger) dead(home *peer, now time.Time) bool {
	signs := l.reached[home.failureDomain]
	if l.configuration == nil || l.newest > l.configuration.Version || home.heard.IsZero() || signs == nil || now.Sub(signs.last) > reachLimit {
		return false
	}
	since := home.heard
	for _, other := range []time.Time{signs.first, l.woken} {
		if other.After(since) {
			since = other
		}
	}
	return now.Sub(since) > silenceLimit
}

// MarkReachable records a sign of life of a failure domain: an answer of an entry or of
// a backend server there.
func (l *Ledger) MarkReachable(failureDomain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	l.reach(failureDomain, l.observe())
}

func (l *Ledger) reach(failureDomain string, now time.Time) {
	signs := l.reached[failureDomain]
	if signs == nil || now.Sub(signs.last) > reachLimit {
		signs = &reach{
			first: now,
		}
		l.reached[failureDomain] = signs
	}
	signs.last = now
}

// SilentDomains lists the failure domains of homes that have been silent for a while,
// whose signs of life this entry needs to judge them.
func (l *Ledger) SilentDomains() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.observe()
	var domains []string
	seen := make(map[string]bool)
	for _, known := range l.servers {
		if known.role != RoleDeputy || known.other == nil || !known.takeable || seen[known.other.failureDomain] {
			continue
		}
		if !known.other.heard.IsZero() && now.Sub(known.other.heard) > silenceLimit/2 {
			seen[known.other.failureDomain] = true
			domains = append(domains, known.other.failureDomain)
		}
	}
	return domains
}

// HeartbeatExtension returns the leases' news for the heartbeats.
func (l *Ledger) HeartbeatExtension() membership.Extension {
	return membership.Extension{
		FillRequest:    l.ask,
		HandleRequest:  l.answer,
		HandleResponse: l.learn,
	}
}

func (l *Ledger) ask(to *teaselv1.Member, request *teaselv1.HeartbeatRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe()
	if l.hasSeat(RoleHome, to.GetName()) {
		request.Slots = &teaselv1.SlotLease{
			AskMs: uint32(leaseLength.Milliseconds()),
		}
	}
}

// hasSeat reports whether this entry has a role at a server whose other seat is
// the peer's.
func (l *Ledger) hasSeat(role Role, name string) bool {
	for _, known := range l.servers {
		if known.role == role && known.other != nil && known.other.name == name {
			return true
		}
	}
	return false
}

func (l *Ledger) answer(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	now := l.observe()
	name := request.GetSender().GetName()
	l.newest = max(l.newest, request.GetSender().GetConfigurationVersion())
	l.reach(request.GetSender().GetFailureDomain(), now)
	lease := &teaselv1.SlotLease{}
	if home := l.peers[name]; home != nil {
		lease.Takeover = home.takeover
		l.hear(home, now)
		if asked := request.GetSlots().GetAskMs(); asked > 0 && l.hasSeat(RoleDeputy, name) {
			home.stale = false
			lease.GrantMs = min(asked, uint32(leaseLength.Milliseconds()))
		}
	}
	lease.Uses = l.uses(name)
	response.Slots = lease
}

// hear records a sign of life of a peer. A home that lives keeps its deputy from
// the slots, also when it has asked for nothing: it may have another deputy in a
// newer configuration.
func (l *Ledger) hear(known *peer, now time.Time) {
	known.heard = now
	known.held = now.Add(withMargin(leaseLength))
	l.judge(known, now)
}

func (l *Ledger) learn(sent time.Time, response *teaselv1.HeartbeatResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	now := l.observe()
	receiver := response.GetReceiver()
	l.reach(receiver.GetFailureDomain(), now)
	known := l.peers[receiver.GetName()]
	if known == nil {
		known = l.peer(receiver.GetName(), receiver.GetFailureDomain(), now)
	}
	l.hear(known, now)
	if sent.Before(known.asked) || l.configuration == nil {
		return
	}
	known.asked = sent
	known.told = now
	l.versions[known.name] = receiver.GetConfigurationVersion()
	l.newest = max(l.newest, receiver.GetConfigurationVersion())
	known.inUse = make(map[string]int)
	for _, use := range response.GetSlots().GetUses() {
		known.inUse[use.GetServer()] = int(use.GetInUse())
	}
	l.granted(known, sent, response)
	l.settle(now)
	l.pumpAll(now)
}

// granted takes a deputy's answer over. An answer to an ask from before a pause,
// or from an entry with a newer configuration, confirms nothing.
func (l *Ledger) granted(deputy *peer, sent time.Time, response *teaselv1.HeartbeatResponse) {
	length := time.Duration(response.GetSlots().GetGrantMs()) * time.Millisecond
	if length == 0 || sent.Before(deputy.unconfirmed) ||
		response.GetReceiver().GetConfigurationVersion() > l.configuration.Version {
		return
	}
	deputy.confirmed = true
	if end := sent.Add(length); end.After(deputy.granted) {
		deputy.granted = end
	}
}

// settle looks which new seats may be used: those whose configuration version
// all entries that may have had the seat before have applied, with no slot left
// in use, or that have been silent until their work has passed its deadline.
func (l *Ledger) settle(now time.Time) {
	for _, known := range l.servers {
		if !known.settled {
			known.settled = l.applied(known, now)
		}
	}
}

func (l *Ledger) applied(known *server, now time.Time) bool {
	for _, name := range l.formerOwners(known) {
		former := l.peers[name]
		if former == nil {
			former = l.peer(name, "", now)
		}
		version, told := l.versions[name]
		if told && (version == 0 || version >= known.version) && (former == known.other || former.inUse[known.intent.Name] == 0) {
			continue
		}
		silent := former.unconfirmed
		if former.heard.After(silent) {
			silent = former.heard
		}
		limit := silenceLimit
		if !known.takeable {
			limit = strandedLimit
		}
		if now.Sub(silent) <= withMargin(limit+known.deadline) {
			return false
		}
	}
	return true
}

// formerOwners lists the entries that may have had a seat at a server: those of
// its failure domain and region, all where the region has none other, and
// running ones that the configuration has dropped.
func (l *Ledger) formerOwners(known *server) []string {
	var near, all, dropped []string
	for _, entry := range l.configuration.Deployment.Entries {
		if entry.Name == l.Entry {
			continue
		}
		all = append(all, entry.Name)
		if l.configuration.RegionOf(entry.FailureDomain) == known.intent.Region {
			near = append(near, entry.Name)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if l.RunningPeers != nil {
		for _, name := range l.RunningPeers() {
			if l.configuration.Entry(name) == nil {
				dropped = append(dropped, name)
			}
		}
	}
	return append(near, dropped...)
}

// Run checks clocks and leases until ctx is done.
func (l *Ledger) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		l.Tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Tick checks clocks and leases once.
func (l *Ledger) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	now := l.observe()
	for _, known := range l.peers {
		l.judge(known, now)
	}
	l.settle(now)
	l.pumpAll(now)
}
