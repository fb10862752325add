package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

const (
	// repairInterval is the time between two comparisons of all records of a pair.
	repairInterval = 30 * time.Second
	// bucketRecords is how many records share a digest, on average.
	bucketRecords = 32
)

// link is what this entry and one peer have exchanged.
type link struct {
	// incarnation is the peer's for which the rest holds.
	incarnation uint64
	// absorbed is the peer's revision that this entry has taken over, and
	// acknowledged the own revision that the peer has.
	absorbed     uint64
	acknowledged uint64
	// pending names records that the peer's digests lack.
	pending []string
	// repaired is when digests were last compared, and pulsed when pulses were
	// last sent.
	repaired time.Time
	pulsed   time.Time
}

// linkTo returns the link to a member, begun anew for a new incarnation. The
// caller holds the lock.
func (r *Roster) linkTo(member *teaselv1.Member) *link {
	known := r.links[member.GetName()]
	if known == nil || known.incarnation != member.GetIncarnation() {
		known = &link{
			incarnation: member.GetIncarnation(),
		}
		r.links[member.GetName()] = known
	}
	return known
}

// ask returns the member at an address, nil before the first answer, and the
// news for it.
func (r *Roster) ask(address string) (*teaselv1.Member, *teaselv1.MembershipDelta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.byAddress(address)
	if peer == nil {
		return nil, &teaselv1.MembershipDelta{
			Revision: r.revision,
			Digests:  r.digests(r.buckets()),
		}
	}
	link := r.linkTo(peer.Member)
	delta := &teaselv1.MembershipDelta{
		Absorbed: link.absorbed,
		Revision: r.revision,
	}
	r.addRelayNews(peer.Member, link, delta)
	if link.acknowledged > 0 {
		delta.Base = link.acknowledged
		delta.Reports = r.changed(link.acknowledged)
	}
	for _, name := range link.pending {
		delta.Reports = append(delta.Reports, r.report(name))
	}
	if link.absorbed == 0 || time.Since(link.repaired) > repairInterval {
		link.repaired = time.Now()
		delta.Digests = r.digests(r.buckets())
		if len(delta.GetReports()) > bucketRecords {
			// The pair last met long ago: others told the peer most of it.
			delta.Base = 0
			delta.Reports = nil
		}
	}
	return peer.Member, delta
}

// reply takes a peer's news over and returns the own.
func (r *Roster) reply(sender *teaselv1.Member, news *teaselv1.MembershipDelta) *teaselv1.MembershipDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	link := r.linkTo(sender)
	r.merge(sender, news)
	link.acknowledged = max(link.acknowledged, news.GetAbsorbed())
	if news.GetBase() > 0 && link.absorbed >= news.GetBase() {
		link.absorbed = max(link.absorbed, news.GetRevision())
	}
	delta := &teaselv1.MembershipDelta{
		Base:     news.GetAbsorbed(),
		Revision: r.revision,
		Absorbed: link.absorbed,
	}
	r.addRelayNews(sender, link, delta)
	if len(news.GetDigests()) == 0 {
		delta.Reports = r.changed(news.GetAbsorbed())
		return delta
	}
	// Both sides compare: what differs goes back with the answer, and what the
	// sender has goes out with its next requests, until one is answered.
	delta.Digests = r.digests(len(news.GetDigests()))
	for _, name := range r.differing(news.GetDigests(), delta.GetDigests()) {
		delta.Reports = append(delta.Reports, r.report(name))
	}
	delta.Base = 0
	link.absorbed = max(link.absorbed, news.GetRevision())
	delta.Absorbed = link.absorbed
	return delta
}

// learn takes the answer to the news in request over.
func (r *Roster) learn(receiver *teaselv1.Member, request, news *teaselv1.MembershipDelta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	link := r.linkTo(receiver)
	link.pending = nil
	if len(request.GetDigests()) > 0 {
		own := r.digests(len(request.GetDigests()))
		link.pending = r.differing(news.GetDigests(), own)
		if r.meshed() {
			// Digests don't tell which members this entry hears.
			link.pending = r.names()
		}
		link.acknowledged = r.revision
	} else {
		link.acknowledged = news.GetAbsorbed()
	}
	r.merge(receiver, news)
	link.absorbed = max(link.absorbed, news.GetRevision())
}

// changed returns reports on all records that changed after a revision. The
// caller holds the lock.
func (r *Roster) changed(after uint64) []*teaselv1.MemberReport {
	if r.revision <= after {
		return nil
	}
	var reports []*teaselv1.MemberReport
	if r.selfRevision > after {
		reports = append(reports, r.report(r.self.GetName()))
	}
	for name, peer := range r.peers {
		if peer.revision > after {
			reports = append(reports, r.report(name))
		}
	}
	return reports
}

func (r *Roster) report(name string) *teaselv1.MemberReport {
	if name == r.self.GetName() {
		return &teaselv1.MemberReport{
			Member: r.self,
			Heard:  true,
		}
	}
	peer := r.peers[name]
	return &teaselv1.MemberReport{
		Member: peer.Member,
		Heard:  peer.direct && peer.State == Alive,
		Dead:   peer.dead,
	}
}

// buckets returns how many digests stand for all records.
func (r *Roster) buckets() int {
	return len(r.peers)/bucketRecords + 1
}

// digests sums the records by buckets; the order of records doesn't matter.
func (r *Roster) digests(buckets int) []uint64 {
	sums := make([]uint64, buckets)
	r.each(func(member *teaselv1.Member, dead bool) {
		sums[bucketOf(member.GetName(), buckets)] += digest(member, dead)
	})
	return sums
}

func (r *Roster) each(visit func(member *teaselv1.Member, dead bool)) {
	visit(r.self, false)
	for _, peer := range r.peers {
		visit(peer.Member, peer.dead)
	}
}

// names returns the names of all members. The caller holds the lock.
func (r *Roster) names() []string {
	names := make([]string, 0, len(r.peers)+1)
	r.each(func(member *teaselv1.Member, _ bool) { names = append(names, member.GetName()) })
	return names
}

func bucketOf(name string, buckets int) int {
	return int(xxhash.Sum64String(name) % uint64(buckets))
}

func digest(member *teaselv1.Member, dead bool) uint64 {
	sum := xxhash.Sum64String(member.GetName()) ^ member.GetIncarnation()*0x9e3779b97f4a7c15 + member.GetSequence()
	if dead {
		sum = ^sum
	}
	return sum * 0xff51afd7ed558ccd
}

// differing names the records in buckets whose digests differ.
func (r *Roster) differing(theirs, own []uint64) []string {
	var names []string
	r.each(func(member *teaselv1.Member, _ bool) {
		bucket := bucketOf(member.GetName(), len(own))
		if bucket >= len(theirs) || theirs[bucket] != own[bucket] {
			names = append(names, member.GetName())
		}
	})
	return names
}

// merge takes over what a peer says of others, and of this entry. The caller
// holds the lock.
func (r *Roster) merge(sender *teaselv1.Member, delta *teaselv1.MembershipDelta) {
	r.takeRelayNews(delta)
	for _, report := range delta.GetReports() {
		member := report.GetMember()
		if member.GetName() == r.self.GetName() {
			r.aboutSelf(report)
			continue
		}
		if member.GetName() == "" {
			continue
		}
		peer := r.take(member)
		if peer.Member.GetIncarnation() != member.GetIncarnation() {
			continue
		}
		r.noteHeard(peer, sender.GetName(), report.GetHeard())
		if report.GetDead() && !peer.dead && peer.Member.GetSequence() == member.GetSequence() && !r.hears(peer) {
			peer.dead = true
			r.touch(peer)
		}
	}
}

// noteHeard remembers whether a peer hears another.
func (r *Roster) noteHeard(peer *Peer, by string, heard bool) {
	if !heard {
		delete(peer.heardBy, by)
		return
	}
	if peer.heardBy == nil {
		peer.heardBy = make(map[string]time.Time)
	}
	peer.heardBy[by] = time.Now()
}

// aboutSelf refutes a claim that this entry is dead, and notices another
// process in its seat.
func (r *Roster) aboutSelf(report *teaselv1.MemberReport) {
	member := report.GetMember()
	if member.GetIncarnation() > r.self.GetIncarnation() {
		if r.superseded != nil {
			r.superseded(member.GetIncarnation())
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

// heard takes a member's own word over.
func (r *Roster) heard(member *teaselv1.Member, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if member.GetName() == "" {
		return
	}
	if member.GetName() == r.self.GetName() {
		r.aboutSelf(&teaselv1.MemberReport{
			Member: member,
		})
		return
	}
	peer := r.take(member)
	if peer.Member.GetIncarnation() != member.GetIncarnation() {
		return
	}
	if peer.Member.GetSequence() == member.GetSequence() {
		peer.Member = member
	}
	peer.LastHeard = time.Now()
	peer.direct = true
	if roundTrip > 0 {
		peer.RoundTrip = roundTrip
	}
	r.setState(peer, Alive)
}

// take returns the peer of a member's name, brought up to the newer of the two
// records. The caller holds the lock.
func (r *Roster) take(member *teaselv1.Member) *Peer {
	peer, known := r.peers[member.GetName()]
	if !known {
		peer = &Peer{
			Member:    member,
			State:     Suspect,
			LastHeard: time.Now(),
		}
		r.peers[member.GetName()] = peer
		r.index.valid = false
		r.touch(peer)
		return peer
	}
	if !newer(member, peer.Member) {
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
	peer.dead = false
	r.index.valid = false
	r.touch(peer)
	return peer
}

// touch makes a record part of the next deltas. The caller holds the lock.
func (r *Roster) touch(peer *Peer) {
	r.revision++
	peer.revision = r.revision
	r.alive = nil
}

func newer(a, b *teaselv1.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}
