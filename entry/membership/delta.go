package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

const (
	// antiEntropyInterval is the time between two requests with digests of all member
	// records that an entry sends to the same peer.
	antiEntropyInterval = 30 * time.Second
	// recordsPerBucket is the highest average number of member records in a bucket. Each
	// bucket has one digest.
	recordsPerBucket = 32
)

// syncState tracks which changes of member records this entry and one peer have
// exchanged.
type syncState struct {
	// incarnation is the peer's incarnation to which the other fields apply.
	incarnation uint64
	// receivedRevision is the peer's revision up to which this entry has received the
	// peer's changes. Deltas acknowledge it to the peer as Absorbed.
	receivedRevision uint64
	// ackedRevision is this entry's revision up to which the peer has received this
	// entry's changes, apart from the records in pendingNames.
	ackedRevision uint64
	// pendingNames holds the names of the members whose records are sent with every
	// request until the next response: those in buckets whose digests differed from the
	// peer's, or all members in a full mesh.
	pendingNames []string
	// digestsSentAt is when digests were last sent to the peer in a request.
	digestsSentAt time.Time
	// countersSentAt is when liveness counters were last sent to the peer, in a request
	// or a response.
	countersSentAt time.Time
}

// syncStateFor returns the state for a member, which starts empty for each
// incarnation. The caller must hold r.mu.
func (r *Roster) syncStateFor(member *teaselv1.Member) *syncState {
	state := r.syncStates[member.GetName()]
	if state == nil || state.incarnation != member.GetIncarnation() {
		state = &syncState{
			incarnation: member.GetIncarnation(),
		}
		r.syncStates[member.GetName()] = state
	}
	return state
}

// requestDelta returns the member at an address and the delta to send to it. While no
// member with the address is known, the member is nil and the delta holds no reports,
// only digests.
func (r *Roster) requestDelta(address string) (*teaselv1.Member, *teaselv1.MembershipDelta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.peerAt(address)
	if peer == nil {
		return nil, &teaselv1.MembershipDelta{
			Revision: r.revision,
			Digests:  r.digests(r.bucketCount()),
		}
	}
	state := r.syncStateFor(peer.Member)
	delta := &teaselv1.MembershipDelta{
		Absorbed: state.receivedRevision,
		Revision: r.revision,
	}
	r.addRelayData(peer.Member, state, delta)
	if state.ackedRevision > 0 {
		delta.Base = state.ackedRevision
		delta.Reports = r.changedSince(state.ackedRevision)
	}
	for _, name := range state.pendingNames {
		delta.Reports = append(delta.Reports, r.reportOn(name))
	}
	if state.receivedRevision == 0 || time.Since(state.digestsSentAt) > antiEntropyInterval {
		state.digestsSentAt = time.Now()
		delta.Digests = r.digests(r.bucketCount())
		if len(delta.GetReports()) > recordsPerBucket {
			// With so many changes, the last exchange was long ago and the peer has
			// received most of them from others. The digests find the rest.
			delta.Base = 0
			delta.Reports = nil
		}
	}
	return peer.Member, delta
}

// responseDelta applies the delta received in a request from sender and returns the
// delta for the response.
func (r *Roster) responseDelta(sender *teaselv1.Member, received *teaselv1.MembershipDelta) *teaselv1.MembershipDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.syncStateFor(sender)
	r.mergeDelta(sender, received)
	state.ackedRevision = max(state.ackedRevision, received.GetAbsorbed())
	if received.GetBase() > 0 && state.receivedRevision >= received.GetBase() {
		state.receivedRevision = max(state.receivedRevision, received.GetRevision())
	}
	delta := &teaselv1.MembershipDelta{
		Base:     received.GetAbsorbed(),
		Revision: r.revision,
		Absorbed: state.receivedRevision,
	}
	r.addRelayData(sender, state, delta)
	if len(received.GetDigests()) == 0 {
		delta.Reports = r.changedSince(received.GetAbsorbed())
		return delta
	}
	// Both sides compare the digests. This entry returns its records of the differing
	// buckets in the response. The sender sends its own with its next requests, see
	// pendingNames.
	delta.Digests = r.digests(len(received.GetDigests()))
	for _, name := range r.namesInDifferingBuckets(received.GetDigests(), delta.GetDigests()) {
		delta.Reports = append(delta.Reports, r.reportOn(name))
	}
	delta.Base = 0
	state.receivedRevision = max(state.receivedRevision, received.GetRevision())
	delta.Absorbed = state.receivedRevision
	return delta
}

// applyResponse applies the delta received in the response to a request that carried
// sentDelta.
func (r *Roster) applyResponse(receiver *teaselv1.Member, sentDelta, receivedDelta *teaselv1.MembershipDelta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.syncStateFor(receiver)
	state.pendingNames = nil
	if len(sentDelta.GetDigests()) > 0 {
		ownDigests := r.digests(len(sentDelta.GetDigests()))
		state.pendingNames = r.namesInDifferingBuckets(receivedDelta.GetDigests(), ownDigests)
		if r.isFullMesh() {
			// Digests don't cover MemberReport.Heard, so the records of all members are
			// sent.
			state.pendingNames = r.memberNames()
		}
		state.ackedRevision = r.revision
	} else {
		state.ackedRevision = receivedDelta.GetAbsorbed()
	}
	r.mergeDelta(receiver, receivedDelta)
	state.receivedRevision = max(state.receivedRevision, receivedDelta.GetRevision())
}

// changedSince returns reports on all members whose records changed after a revision of
// this entry. The caller must hold r.mu.
func (r *Roster) changedSince(after uint64) []*teaselv1.MemberReport {
	if r.revision <= after {
		return nil
	}
	var reports []*teaselv1.MemberReport
	if r.selfRevision > after {
		reports = append(reports, r.reportOn(r.self.GetName()))
	}
	for name, peer := range r.peers {
		if peer.revision > after {
			reports = append(reports, r.reportOn(name))
		}
	}
	return reports
}

// reportOn returns this entry's report on the member with a name, which must be this
// entry or a known peer. The caller must hold r.mu.
func (r *Roster) reportOn(name string) *teaselv1.MemberReport {
	if name == r.self.GetName() {
		return &teaselv1.MemberReport{
			Member: r.self,
			Heard:  true,
		}
	}
	peer := r.peers[name]
	return &teaselv1.MemberReport{
		Member: peer.Member,
		Heard:  peer.everHeard && peer.State == Alive,
		Dead:   peer.declaredDead,
	}
}

// bucketCount returns the number of buckets over which all records are spread.
func (r *Roster) bucketCount() int {
	return len(r.peers)/recordsPerBucket + 1
}

// digests returns the digest of each bucket: the sum of the digests of its records,
// which doesn't depend on their order.
func (r *Roster) digests(buckets int) []uint64 {
	bucketDigests := make([]uint64, buckets)
	r.forEachRecord(func(member *teaselv1.Member, dead bool) {
		bucketDigests[bucketOf(member.GetName(), buckets)] += recordDigest(member, dead)
	})
	return bucketDigests
}

// forEachRecord calls visit for this entry's record and the records of all peers, and
// passes whether the member is declared dead.
func (r *Roster) forEachRecord(visit func(member *teaselv1.Member, dead bool)) {
	visit(r.self, false)
	for _, peer := range r.peers {
		visit(peer.Member, peer.declaredDead)
	}
}

// memberNames returns the names of all members. The caller must hold r.mu.
func (r *Roster) memberNames() []string {
	names := make([]string, 0, len(r.peers)+1)
	r.forEachRecord(func(member *teaselv1.Member, _ bool) { names = append(names, member.GetName()) })
	return names
}

// bucketOf returns the index of the bucket that holds a member's record.
func bucketOf(name string, buckets int) int {
	return int(xxhash.Sum64String(name) % uint64(buckets))
}

// recordDigest hashes a record's name, incarnation and sequence, and whether the member
// is declared dead. All entries must compute the same digest. The first factor is derived
// from the golden ratio, and the second is from the finalizer of MurmurHash. Both are
// common in hash functions.
func recordDigest(member *teaselv1.Member, dead bool) uint64 {
	sum := xxhash.Sum64String(member.GetName()) ^ member.GetIncarnation()*0x9e3779b97f4a7c15 + member.GetSequence()
	if dead {
		sum = ^sum
	}
	return sum * 0xff51afd7ed558ccd
}

// namesInDifferingBuckets returns the names of the members whose records are in buckets
// for which the peer's digest and this entry's differ.
func (r *Roster) namesInDifferingBuckets(peerDigests, ownDigests []uint64) []string {
	var names []string
	r.forEachRecord(func(member *teaselv1.Member, _ bool) {
		bucket := bucketOf(member.GetName(), len(ownDigests))
		if bucket >= len(peerDigests) || peerDigests[bucket] != ownDigests[bucket] {
			names = append(names, member.GetName())
		}
	})
	return names
}

// mergeDelta applies the relay data and the reports in a delta from sender. It ignores a
// claim that a member is dead if this entry hears the member or has a newer record of it.
// The caller must hold r.mu.
func (r *Roster) mergeDelta(sender *teaselv1.Member, delta *teaselv1.MembershipDelta) {
	r.applyRelayData(delta)
	for _, report := range delta.GetReports() {
		member := report.GetMember()
		if member.GetName() == r.self.GetName() {
			r.handleReportOnSelf(report)
			continue
		}
		if member.GetName() == "" {
			continue
		}
		peer := r.upsert(member)
		if peer.Member.GetIncarnation() != member.GetIncarnation() {
			continue
		}
		r.recordHeardBy(peer, sender.GetName(), report.GetHeard())
		if report.GetDead() && !peer.declaredDead && peer.Member.GetSequence() == member.GetSequence() && !r.hearsDirectly(peer) {
			peer.declaredDead = true
			r.markChanged(peer)
		}
	}
}

// recordHeardBy records whether the member with the name reporter hears peer directly.
func (r *Roster) recordHeardBy(peer *Peer, reporter string, heard bool) {
	if !heard {
		delete(peer.heardBy, reporter)
		return
	}
	if peer.heardBy == nil {
		peer.heardBy = make(map[string]time.Time)
	}
	peer.heardBy[reporter] = time.Now()
}

// handleReportOnSelf handles a peer's report on the member with this entry's name. It
// refutes a claim that this entry is dead by raising the sequence number of its record.
// If the report is on a process with a higher incarnation, it calls onSuperseded. The
// caller must hold r.mu.
func (r *Roster) handleReportOnSelf(report *teaselv1.MemberReport) {
	member := report.GetMember()
	if member.GetIncarnation() > r.self.GetIncarnation() {
		if r.onSuperseded != nil {
			r.onSuperseded(member.GetIncarnation())
		}
		return
	}
	if report.GetDead() && member.GetIncarnation() == r.self.GetIncarnation() && member.GetSequence() >= r.self.GetSequence() {
		r.self = proto.CloneOf(r.self)
		r.self.Sequence = member.GetSequence() + 1
		r.revision++
		r.selfRevision = r.revision
	}
}

// recordContact records that a heartbeat or response came from the member itself, and
// applies the member's record in it. roundTrip is 0 if it is not known.
func (r *Roster) recordContact(member *teaselv1.Member, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if member.GetName() == "" {
		return
	}
	if member.GetName() == r.self.GetName() {
		r.handleReportOnSelf(&teaselv1.MemberReport{
			Member: member,
		})
		return
	}
	peer := r.upsert(member)
	if peer.Member.GetIncarnation() != member.GetIncarnation() {
		return
	}
	if peer.Member.GetSequence() == member.GetSequence() {
		// The configuration version may differ, see UpdateSelf.
		peer.Member = member
	}
	peer.LastHeard = time.Now()
	peer.everHeard = true
	if roundTrip > 0 {
		peer.RoundTrip = roundTrip
	}
	r.setState(peer, Alive)
}

// upsert returns the peer with a member's name. It adds the peer, as suspect, if it is
// unknown, and replaces its record if the given one is newer. The caller must hold r.mu.
func (r *Roster) upsert(member *teaselv1.Member) *Peer {
	peer, known := r.peers[member.GetName()]
	if !known {
		peer = &Peer{
			Member:    member,
			State:     Suspect,
			LastHeard: time.Now(),
		}
		r.peers[member.GetName()] = peer
		r.index.valid = false
		r.markChanged(peer)
		return peer
	}
	if !isNewer(member, peer.Member) {
		return peer
	}
	if member.GetIncarnation() > peer.Member.GetIncarnation() {
		peer.heardBy = nil
		r.events.Record(timeline.Event{
			Kind:   "member-replaced",
			Detail: "entry=" + member.GetName(),
		})
	}
	peer.Member = member
	peer.declaredDead = false
	r.index.valid = false
	r.markChanged(peer)
	return peer
}

// markChanged gives a record a new revision, so that the next deltas contain it, and
// clears the cache of AliveMembers. The caller must hold r.mu.
func (r *Roster) markChanged(peer *Peer) {
	r.revision++
	peer.revision = r.revision
	r.aliveMembers = nil
}

// isNewer reports whether record a is newer than b, by incarnation and then sequence.
func isNewer(a, b *teaselv1.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}
