package slot

import (
	"context"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
	"github.com/teaselstack/teaselstack/timeline"
)

// The rules in this file keep the number of slots in use on a backend server,
// summed over all entries, within the server's slots. They assume that a network
// partition separates failure domains from each other and never splits one.
// There are two cases.
//
// In the first, the home is in the server's failure domain. It owns all slots and
// needs no lease: a deputy that is partitioned from the home is partitioned from the
// server as well. A deputy takes over when it reaches the failure domain without
// interruption while the home stays silent, which shows that the home is dead or
// paused and not partitioned. It gets all slots once the work that the home may
// have left behind has passed its deadline, and keeps them only while that
// evidence lasts. A home that was paused detects the jump of its clock before it
// starts a request, and starts none until the deputy has granted a lease, or
// until the home has waited for so long that a takeover by a deputy that it can't
// reach must have ended.
//
// In the second, the server's failure domain has no entry VM. Home and deputy may
// then be partitioned from each other while both reach the server. Each owns a
// part of the slots and may use it while it hears nothing from the other; the
// parts sum to the server's slots. With each heartbeat the home requests a lease
// on the deputy's part, for a duration that counts from the time of sending; while
// it holds the lease, it may use all slots. A deputy that grants the lease starts
// no request until the lease has certainly expired and the work that began under
// it has passed its deadline. The two clocks must run at the same rate, within the
// margin of driftDivisor, but need not show the same time. See Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency" (1989).
const (
	// leaseDuration is the duration of the lease that a home requests.
	leaseDuration = 3 * time.Second
	// driftDivisor sets the margin for clock drift: a wait for an interval that
	// another entry's clock measures is longer by interval/driftDivisor. This
	// covers clocks whose rates differ by less than a sixteenth.
	driftDivisor = 16
	// pauseThreshold is the gap between two clock readings above which the
	// process counts as paused. It is below silenceTimeout, so that a home
	// detects every pause that is long enough for a takeover.
	pauseThreshold = 2 * time.Second
	// silenceTimeout is how long a home must be silent, while its failure domain is
	// reachable, before its deputy takes over. For a server with an entry VM in its
	// failure domain, it is also how long a former holder of a seat must be silent
	// before it counts as gone.
	silenceTimeout = 4 * time.Second
	// contactTimeout is how long after the last contact a failure domain still counts
	// as reachable.
	contactTimeout = 2500 * time.Millisecond
	// isolationTimeout bounds how long a deputy that hears nothing from its home may
	// use its own part of a server's slots; it counts from when the last lease that the
	// deputy granted has expired. For a server without an entry VM in its failure
	// domain, it is also how long a former holder of a seat, who may own such a part,
	// must be silent before it counts as gone.
	isolationTimeout = 10 * time.Minute
	// tickInterval is the interval at which Run calls Tick, and the longest delay of
	// scheduleRetry.
	tickInterval = 250 * time.Millisecond
)

// peer holds what this entry knows of another entry: one that holds the other seat
// at a backend server, may have held a seat there before, or has responded to a
// heartbeat.
type peer struct {
	name          string
	failureDomain string
	// lastHeard is when the peer's last heartbeat, or response to a heartbeat, arrived.
	lastHeard time.Time

	// hasGrantedLease reports whether the peer, as deputy, has granted a lease in its
	// response to a heartbeat sent after trackedSince.
	hasGrantedLease bool
	// trackedSince is when this record was created, or when this entry last resumed
	// after a pause if that is later. Before that, the peer may have taken over from
	// this entry without its knowledge.
	trackedSince time.Time
	// leaseHeldUntil is when this entry's lease on the peer's part of the slots, which
	// the peer has granted as deputy, expires.
	leaseHeldUntil time.Time
	// lastAnsweredSend is when this entry sent the newest heartbeat to which the peer has
	// responded.
	lastAnsweredSend time.Time
	// reportedInUse holds the numbers of slots in use, by backend server, that the
	// peer reported in its response to that heartbeat.
	reportedInUse map[string]int
	// reportedAt is when that response arrived.
	reportedAt time.Time

	// leaseGrantedUntil is when every lease that this entry, as deputy, may have
	// granted to the peer has certainly expired.
	leaseGrantedUntil time.Time
	// deputySuspended reports whether this entry was paused and since then neither
	// has the peer, as home, requested a lease nor has a newer configuration been
	// applied. This entry, as deputy of the peer, uses none of its own part meanwhile.
	deputySuspended bool
	// takeover reports whether this entry presumes the peer dead or paused, see
	// presumedDead. Then it takes over the servers whose home is the peer and whose
	// deputy is this entry, as far as takeoverAllowed permits.
	takeover bool
	// takeoverStart is when takeover last became true.
	takeoverStart time.Time
}

// contactPeriod is a period of contact with a failure domain, without a gap longer
// than contactTimeout.
type contactPeriod struct {
	// since is the time of the first contact of the period, last that of the latest.
	since time.Time
	last  time.Time
}

// withDriftMargin lengthens an interval that another entry's clock measures, so that
// it has certainly passed there when the result has passed here.
func withDriftMargin(length time.Duration) time.Duration {
	return length + length/driftDivisor
}

// ensurePeer returns the record of a peer and creates it if needed. A new record says
// that the peer has granted no lease yet, because the peer may have taken over from
// this entry, and that this entry has just granted one to the peer, because an earlier
// process of this entry may have.
func (l *Ledger) ensurePeer(name, failureDomain string, now time.Time) *peer {
	other := l.peers[name]
	if other == nil {
		other = &peer{
			name:              name,
			trackedSince:      now,
			leaseGrantedUntil: now.Add(withDriftMargin(leaseDuration)),
		}
		l.peers[name] = other
	}
	other.failureDomain = failureDomain
	return other
}

// readClock returns the time, and calls handlePause if it has advanced by more than
// pauseThreshold since the last reading. It compares wall time as well, because the
// monotonic clock may stand still while the VM is suspended. The caller holds the
// lock.
func (l *Ledger) readClock() time.Time {
	now := l.now()
	gap := max(now.Sub(l.lastClockReading), now.Round(0).Sub(l.lastClockReading.Round(0)))
	if !l.lastClockReading.IsZero() && gap > pauseThreshold {
		l.handlePause(now, gap)
	}
	l.lastClockReading = now
	return now
}

func (l *Ledger) now() time.Time {
	if l.Clock != nil {
		return l.Clock()
	}
	return time.Now()
}

// handlePause discards the leases that this entry holds, the takeovers and the
// contacts from before a pause of this process. As home, this entry then uses no slot
// until the deputy grants a lease or a takeover by the deputy must have ended. As
// deputy, it doesn't use its own part of the slots until the home requests a lease or
// a newer configuration is applied.
func (l *Ledger) handlePause(now time.Time, gap time.Duration) {
	l.resumedAt = now
	for _, other := range l.peers {
		other.hasGrantedLease = false
		other.trackedSince = now
		other.leaseHeldUntil = time.Time{}
		other.takeover = false
		other.deputySuspended = true
	}
	clear(l.contactPeriods)
	l.Events.Record(timeline.Event{
		Kind:   "slot-pause",
		Detail: "length=" + gap.Round(time.Millisecond).String(),
	})
}

// usableSlots returns how many slots of a backend server this entry may have in
// use. The caller holds the lock.
func (l *Ledger) usableSlots(backend *server, now time.Time) int {
	slots := backend.declared.Slots
	switch {
	case l.LeasesEnabled && !backend.seatSettled:
		return 0
	case !l.LeasesEnabled || backend.partner == nil:
		slots = usableSlotsWithoutLeases(backend)
	case backend.role == RoleHome:
		slots = homeUsableSlots(backend, now)
	default:
		slots = l.deputyUsableSlots(backend, now)
	}
	return min(slots, backend.warmSlots(now))
}

// usableSlotsWithoutLeases returns the usable slots of a backend server if entries
// exchange no leases or the server has no deputy: all for the home, none for the
// deputy.
func usableSlotsWithoutLeases(backend *server) int {
	if backend.role == RoleHome {
		return backend.declared.Slots
	}
	return 0
}

// homeUsableSlots returns the usable slots of a backend server's home. There are
// none until the deputy has granted a lease or any takeover by it must have ended.
// Where the deputy owns a part, the home may use that part only under a lease. The
// slots that the deputy last reported in use are not usable until the work on them
// has passed its deadline.
func homeUsableSlots(backend *server, now time.Time) int {
	deputy := backend.partner
	if !deputy.hasGrantedLease && now.Before(deputy.trackedSince.Add(withDriftMargin(contactTimeout+silenceTimeout+backend.workTimeout))) {
		return 0
	}
	slots := backend.declared.Slots
	if !backend.takeoverAllowed && !now.Before(deputy.leaseHeldUntil) {
		slots = backend.ownSlots
	}
	if now.Before(deputy.reportedAt.Add(withDriftMargin(backend.workTimeout))) {
		slots = min(slots, backend.declared.Slots-deputy.reportedInUse[backend.declared.Name])
	}
	return max(0, slots)
}

// deputyUsableSlots returns the usable slots of a backend server's deputy. In a
// takeover these are all slots, once the home's work has passed its deadline. Where
// takeoverAllowed is false, they are the deputy's own part, unless deputySuspended is
// set: from when the last lease has expired and the work under it has passed its
// deadline, until isolationTimeout after that lease. Otherwise there are none.
func (l *Ledger) deputyUsableSlots(backend *server, now time.Time) int {
	home := backend.partner
	l.updateTakeover(home, now)
	workTimeout := withDriftMargin(backend.workTimeout)
	switch {
	case backend.takeoverAllowed && home.takeover && now.After(home.takeoverStart.Add(workTimeout)):
		return backend.declared.Slots
	case backend.takeoverAllowed || home.deputySuspended || now.Sub(home.leaseGrantedUntil) > isolationTimeout:
		return 0
	case now.After(home.leaseGrantedUntil.Add(workTimeout)):
		return backend.ownSlots
	}
	return 0
}

// updateTakeover sets the takeover flag of a peer according to presumedDead. It
// doesn't check whether this entry is deputy of a server whose home is the peer.
func (l *Ledger) updateTakeover(home *peer, now time.Time) {
	dead := l.presumedDead(home, now)
	if dead == home.takeover {
		return
	}
	home.takeover = dead
	kind := "slot-takeover-end"
	if dead {
		home.takeoverStart = now
		kind = "slot-takeover"
	}
	l.Events.Record(timeline.Event{
		Kind:   kind,
		Detail: "entry=" + home.name,
	})
}

// presumedDead reports whether a home has been silent for more than silenceTimeout
// while its failure domain was reachable and this entry was not paused. A home that
// this process has never heard from is not presumed dead. An entry that knows of a
// newer configuration than its own can't tell which entries should be running, and
// presumes none dead.
func (l *Ledger) presumedDead(home *peer, now time.Time) bool {
	period := l.contactPeriods[home.failureDomain]
	if l.configuration == nil || l.newestVersion > l.configuration.Version || home.lastHeard.IsZero() || period == nil || now.Sub(period.last) > contactTimeout {
		return false
	}
	since := home.lastHeard
	for _, start := range []time.Time{period.since, l.resumedAt} {
		if start.After(since) {
			since = start
		}
	}
	return now.Sub(since) > silenceTimeout
}

// MarkReachable records contact with a failure domain: a response of an entry VM or a
// backend server there.
func (l *Ledger) MarkReachable(failureDomain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.recordContact(failureDomain, l.readClock())
}

// recordContact extends the period of contact with a failure domain, or begins a new
// one after a gap. The caller holds the lock.
func (l *Ledger) recordContact(failureDomain string, now time.Time) {
	period := l.contactPeriods[failureDomain]
	if period == nil || now.Sub(period.last) > contactTimeout {
		period = &contactPeriod{
			since: now,
		}
		l.contactPeriods[failureDomain] = period
	}
	period.last = now
}

// SilentDomains returns the failure domains of the homes from which this entry, as
// deputy, may take over, has heard before, and has heard nothing for half of
// silenceTimeout. This entry needs contact with these domains to tell a dead home from a
// partitioned one.
func (l *Ledger) SilentDomains() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.readClock()
	var domains []string
	seen := make(map[string]bool)
	for _, backend := range l.servers {
		if backend.role != RoleDeputy || backend.partner == nil || !backend.takeoverAllowed || seen[backend.partner.failureDomain] {
			continue
		}
		if !backend.partner.lastHeard.IsZero() && now.Sub(backend.partner.lastHeard) > silenceTimeout/2 {
			seen[backend.partner.failureDomain] = true
			domains = append(domains, backend.partner.failureDomain)
		}
	}
	return domains
}

// HeartbeatExtension returns the functions that exchange leases and the numbers
// of slots in use by means of heartbeats.
func (l *Ledger) HeartbeatExtension() membership.Extension {
	return membership.Extension{
		FillRequest:    l.fillRequest,
		HandleRequest:  l.handleRequest,
		HandleResponse: l.handleResponse,
	}
}

// fillRequest adds a request for a lease to a heartbeat if the receiver is deputy of
// a server whose home is this entry.
func (l *Ledger) fillRequest(to *teaselv1.Member, request *teaselv1.HeartbeatRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readClock()
	if l.sharesServerAs(RoleHome, to.GetName()) {
		request.Slots = &teaselv1.SlotLease{
			AskMs: uint32(leaseDuration.Milliseconds()),
		}
	}
}

// sharesServerAs reports whether this entry has the role at a backend server
// whose other seat the partner holds. The caller holds the lock.
func (l *Ledger) sharesServerAs(role Role, partner string) bool {
	for _, backend := range l.servers {
		if backend.role == role && backend.partner != nil && backend.partner.name == partner {
			return true
		}
	}
	return false
}

// handleRequest records a peer's heartbeat and reports in the response the slots in use
// and whether this entry presumed the peer dead until now, see takeover. It grants a
// lease if the peer requests one and is home of a server whose deputy is this entry.
func (l *Ledger) handleRequest(request *teaselv1.HeartbeatRequest, response *teaselv1.HeartbeatResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	now := l.readClock()
	name := request.GetSender().GetName()
	l.newestVersion = max(l.newestVersion, request.GetSender().GetConfigurationVersion())
	l.recordContact(request.GetSender().GetFailureDomain(), now)
	lease := &teaselv1.SlotLease{}
	if home := l.peers[name]; home != nil {
		lease.Takeover = home.takeover
		l.recordSignOfLife(home, now)
		if asked := request.GetSlots().GetAskMs(); asked > 0 && l.sharesServerAs(RoleDeputy, name) {
			home.deputySuspended = false
			lease.GrantMs = min(asked, uint32(leaseDuration.Milliseconds()))
		}
	}
	lease.Uses = l.slotUses(name)
	response.Slots = lease
}

// recordSignOfLife records that a heartbeat or a response of a peer has arrived. It
// keeps this entry, as deputy of the peer, from using slots for as long as a lease
// would. It does so even if the peer requested no lease, because a peer with a newer
// configuration may have another deputy and request the lease there.
func (l *Ledger) recordSignOfLife(other *peer, now time.Time) {
	other.lastHeard = now
	other.leaseGrantedUntil = now.Add(withDriftMargin(leaseDuration))
	l.updateTakeover(other, now)
}

// handleResponse records a peer's response to a heartbeat. If the response to a later
// heartbeat has already arrived, or this entry has no configuration, the response
// counts only as a sign of life.
func (l *Ledger) handleResponse(sent time.Time, response *teaselv1.HeartbeatResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	now := l.readClock()
	receiver := response.GetReceiver()
	l.recordContact(receiver.GetFailureDomain(), now)
	other := l.peers[receiver.GetName()]
	if other == nil {
		other = l.ensurePeer(receiver.GetName(), receiver.GetFailureDomain(), now)
	}
	l.recordSignOfLife(other, now)
	if sent.Before(other.lastAnsweredSend) || l.configuration == nil {
		return
	}
	other.lastAnsweredSend = sent
	other.reportedAt = now
	l.peerVersions[other.name] = receiver.GetConfigurationVersion()
	l.newestVersion = max(l.newestVersion, receiver.GetConfigurationVersion())
	other.reportedInUse = make(map[string]int)
	for _, use := range response.GetSlots().GetUses() {
		other.reportedInUse[use.GetServer()] = int(use.GetInUse())
	}
	l.recordGrant(other, sent, response)
	l.settleSeats(now)
	l.assignAllSlots(now)
}

// recordGrant records the lease that a deputy's response to a heartbeat grants, if any.
// It ignores the lease if the heartbeat was sent before trackedSince, or if the deputy
// has a newer configuration than this entry.
func (l *Ledger) recordGrant(deputy *peer, sent time.Time, response *teaselv1.HeartbeatResponse) {
	length := time.Duration(response.GetSlots().GetGrantMs()) * time.Millisecond
	if length == 0 || sent.Before(deputy.trackedSince) ||
		response.GetReceiver().GetConfigurationVersion() > l.configuration.Version {
		return
	}
	deputy.hasGrantedLease = true
	if end := sent.Add(length); end.After(deputy.leaseHeldUntil) {
		deputy.leaseHeldUntil = end
	}
}

// settleSeats marks the seats as settled that all possible former holders have
// vacated.
func (l *Ledger) settleSeats(now time.Time) {
	for _, backend := range l.servers {
		if !backend.seatSettled {
			backend.seatSettled = l.seatVacated(backend, now)
		}
	}
}

// seatVacated reports whether all former holders have vacated a new seat of this
// entry. An entry that may have held the seat has vacated it in either of two cases.
// In the first, it has reported that it has no slot in use on the server, and that it
// has no configuration or has applied the version that moved the seat. In the second,
// it has been silent for so long that it counts as gone and its work has passed its
// deadline. The holder of the other seat may have slots in use even in the first case:
// homeUsableSlots and deputyUsableSlots allow for them.
func (l *Ledger) seatVacated(backend *server, now time.Time) bool {
	for _, name := range l.formerHolders(backend) {
		former := l.peers[name]
		if former == nil {
			former = l.ensurePeer(name, "", now)
		}
		version, reported := l.peerVersions[name]
		if reported && (version == 0 || version >= backend.seatVersion) && (former == backend.partner || former.reportedInUse[backend.declared.Name] == 0) {
			continue
		}
		lastContact := former.trackedSince
		if former.lastHeard.After(lastContact) {
			lastContact = former.lastHeard
		}
		limit := silenceTimeout
		if !backend.takeoverAllowed {
			limit = isolationTimeout
		}
		if now.Sub(lastContact) <= withDriftMargin(limit+backend.workTimeout) {
			return false
		}
	}
	return true
}

// formerHolders returns the names of the other entries that may have held a seat at a
// backend server: the other entries in the server's region, or in all regions if there
// are none in that one, and the running peers that the configuration no longer contains.
func (l *Ledger) formerHolders(backend *server) []string {
	var inRegion, all, removed []string
	for _, entry := range l.configuration.Deployment.Entries {
		if entry.Name == l.Entry {
			continue
		}
		all = append(all, entry.Name)
		if l.configuration.RegionOf(entry.FailureDomain) == backend.declared.Region {
			inRegion = append(inRegion, entry.Name)
		}
	}
	if len(inRegion) == 0 {
		inRegion = all
	}
	if l.RunningPeers != nil {
		for _, name := range l.RunningPeers() {
			if l.configuration.Entry(name) == nil {
				removed = append(removed, name)
			}
		}
	}
	return append(inRegion, removed...)
}

// Run calls Tick at a fixed interval until ctx is done.
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

// Tick detects a pause of this process, begins and ends takeovers, settles vacated
// seats and gives free slots to waiting requests.
func (l *Ledger) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	now := l.readClock()
	for _, other := range l.peers {
		l.updateTakeover(other, now)
	}
	l.settleSeats(now)
	l.assignAllSlots(now)
}
