package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/routing"
)

// A backend server may state a limit on the rate of requests, which holds for the sum over
// all entries. Only some entries send to such a server, its users: more of them for a higher
// limit, those of its region first. All entries choose the same users by rendezvous hashing,
// without messages. The users divide most of the limit in proportion to their demand, which
// they tell each other with their presence. Each sends from a token bucket that fills at its
// share.

const (
	// minUsers is the number of users of a server with the lowest limit. There is one more
	// for each request per second of the limit. A bucket holds one token, and what its share
	// brings in bucketTime, so in a span T all users together send at most
	// limit*(T+bucketTime) + users requests.
	minUsers = 3
	// bucketTime is the time for which a token bucket collects its share beyond one token.
	bucketTime = time.Second
	// lowestLimit is the rate in requests per second that stands for any lower limit. It lets
	// an entry learn that the server no longer states one.
	lowestLimit = 0.1
	// demandTime is the time constant of the moving average of an entry's demand.
	demandTime = 5 * time.Second
	// equalPart is the part of a limit that the users divide equally. It lets one that has a
	// request once in a while collect a token.
	equalPart = 0.25
	// minDemandTime is the shortest time for which the average is corrected.
	minDemandTime = 500 * time.Millisecond
	// demandLifetime is how long the demand that a peer told counts. It spans the longest
	// interval between two datagrams to a peer.
	demandLifetime = 6 * time.Second
	// shareLifetime is how long an entry's share of a limit is cached.
	shareLifetime = 100 * time.Millisecond
	// limitSilence, times the number of entries, is the age of the last statement of a server
	// from which on an entry may send it a request without a share, to learn whether the limit
	// still holds. All entries together may so send one in limitSilence.
	limitSilence = 10 * time.Second
	// liftedReportTime is how long an entry tells its peers that a server no longer states a
	// limit, and an entry that does not use the server that it does.
	liftedReportTime = 10 * time.Second
	// maxReportedLimits is the maximum number of limits in a message to the peers.
	maxReportedLimits = 24
	// minReportedDemand is the lowest demand, in requests per second, that is told to peers.
	minReportedDemand = 0.01
)

// statedLimit is the limit that a server states, and this entry's part of it.
type statedLimit struct {
	// perSecond is the limit in requests per second. It holds if limited is true.
	limited   bool
	perSecond float64
	// statedAt is when the server stated this, or stated no limit any more. own reports
	// whether it did so in a response to this entry. A peer's statement is dated by its
	// datagram, later by the delay of that.
	statedAt time.Time
	own      bool
	// probedAt is when this entry last got a token because the statement was old.
	probedAt time.Time
	// tokens is the number of requests that this entry may send, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// demand is the moving average of this entry's demand in requests per second, as of
	// demandAt. It is counted from demandSince on.
	demand      float64
	demandAt    time.Time
	demandSince time.Time
	// reported holds the demands that the peers were told within demandLifetime, oldest first.
	reported []reportedDemand
	// share is this entry's share of the limit in requests per second, as of shareAt. user
	// reports whether this entry is a user of the server.
	share   float64
	shareAt time.Time
	user    bool
}

// reportedDemand is the demand, in requests per second, that the peers were told at a time.
type reportedDemand struct {
	at        time.Time
	perSecond float64
}

// peerDemand is the demand for limited servers that a peer told, by the servers' wire hash.
type peerDemand struct {
	receivedAt time.Time
	perSecond  map[uint32]float64
}

// ObserveStatement records what a server stated in a response to a request that Choose
// placed there. A statement of an earlier incarnation is ignored. One of a server whose
// registration is gone is kept in case it comes back.
func (f *Fleet) ObserveStatement(choice *Choice, statement routing.Statement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record := f.servers[choice.Server.ID]
	if record == nil {
		now := time.Now()
		record = &serverRecord{
			Server: choice.Server,
		}
		f.rejoin(record, now)
		defer f.depart(record, now)
	}
	if record.Incarnation() != choice.Server.Incarnation() {
		return
	}
	if statement.Leaving {
		f.setLeaving(record, time.Now(), true)
	}
	if statement.Wait > 0 {
		f.setWait(record, statement.Wait)
	}
	if statement.LimitUnknown || !statement.Limited && record.limit.statedAt.IsZero() {
		return
	}
	f.setLimit(record, statement, time.Now(), true)
}

// setLimit records that a server stated a limit, or none any more.
func (f *Fleet) setLimit(server *serverRecord, statement routing.Statement, statedAt time.Time, own bool) {
	limit := &server.limit
	changed := limit.limited != statement.Limited || statement.Limited && limit.perSecond != statement.RequestLimit
	if !limit.limited {
		// The bucket is empty at first, so that entries that hear of a limit at the same time do
		// not all send at once.
		limit.tokens, limit.refilledAt, limit.shareAt = 0, time.Now(), time.Time{}
		limit.demand, limit.demandAt, limit.demandSince, limit.reported = 0, time.Time{}, time.Now(), nil
	}
	limit.limited, limit.perSecond = statement.Limited, statement.RequestLimit
	limit.statedAt, limit.own = statedAt, own
	if changed && f.OnLimitChange != nil {
		f.OnLimitChange(&server.Server, statement, !own)
	}
}

// withinStatedLimit reports whether a server's limit lets this entry send it a request now.
func (f *Fleet) withinStatedLimit(server *serverRecord, now time.Time) bool {
	if !server.limit.limited {
		return true
	}
	f.refill(server, now)
	return server.limit.tokens >= 1
}

// refill adds to the tokens of a limited server what this entry's share has brought since
// they were last refilled.
func (f *Fleet) refill(server *serverRecord, now time.Time) {
	limit := &server.limit
	if now.Sub(limit.shareAt) >= shareLifetime {
		wasUser := limit.user
		limit.share, limit.user = f.limitShare(server, now)
		limit.shareAt = now
		if wasUser && !limit.user {
			limit.tokens = 0
		}
	}
	elapsed := now.Sub(limit.refilledAt).Seconds()
	limit.refilledAt = now
	limit.tokens = min(1+limit.share*bucketTime.Seconds(), limit.tokens+limit.share*elapsed)
	silence := limitSilence * time.Duration(len(f.entries))
	if now.Sub(limit.statedAt) >= silence && now.Sub(limit.probedAt) >= silence {
		limit.probedAt = now
		limit.tokens = max(1, limit.tokens)
	}
}

// limitShare returns the rate in requests per second at which this entry may send to a
// limited server, and whether it is one of the users.
func (f *Fleet) limitShare(server *serverRecord, now time.Time) (share float64, user bool) {
	perSecond := max(lowestLimit, server.limit.perSecond)
	users := f.limitUsers(server, perSecond, now)
	if !slices.Contains(users, f.options.entryName) {
		return 0, false
	}
	total, known := 0.0, 1
	oldest := now
	for _, name := range users {
		if name == f.options.entryName {
			continue
		}
		if told := f.peerDemands[name]; told != nil && now.Sub(told.receivedAt) < demandLifetime {
			total += told.perSecond[server.wireHash()]
			known++
			if told.receivedAt.Before(oldest) {
				oldest = told.receivedAt
			}
		}
	}
	own := server.limit.reportedAt(oldest)
	total += own
	// A user that has not told its demand is assumed to have the mean of the others.
	total *= float64(len(users)) / float64(known)
	equal := 1 / float64(len(users))
	if total < minReportedDemand {
		return perSecond * equal, true
	}
	return perSecond * (equalPart*equal + (1-equalPart)*own/total), true
}

// reportedAt returns the demand that the peers had been told at a time, or the first one if
// they had been told none. The demands of the peers are as old: while all demands grow, a
// share by the present one of this entry would be too large.
func (l *statedLimit) reportedAt(at time.Time) float64 {
	demand := 0.0
	for i, report := range l.reported {
		if i > 0 && report.at.After(at) {
			break
		}
		demand = report.perSecond
	}
	return demand
}

// limitUsers returns the names of the entries that send to a server with a limit.
func (f *Fleet) limitUsers(server *serverRecord, perSecond float64, now time.Time) []string {
	if now.Sub(f.entriesAt) >= shareLifetime || f.entries == nil {
		f.entries, f.entriesAt = f.options.servingEntries(), now
	}
	type scored struct {
		name       string
		sameRegion bool
		score      uint64
	}
	order := make([]scored, 0, len(f.entries))
	for _, entry := range f.entries {
		order = append(order, scored{
			name:       entry.Name,
			sameRegion: entry.Region == server.Region,
			score:      xxhash.Sum64String(entry.Name + " " + server.ID),
		})
	}
	slices.SortFunc(order, func(a, b scored) int {
		if a.sameRegion != b.sameRegion {
			if a.sameRegion {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.score, b.score)
	})
	count := len(order)
	if perSecond < float64(count) {
		count = min(count, minUsers+int(perSecond))
	}
	users := make([]string, 0, count)
	for _, each := range order[:count] {
		users = append(users, each.name)
	}
	return users
}

// countDemand counts a request for which this entry would choose the server if there were no
// limit.
func (l *statedLimit) countDemand(now time.Time) {
	if !l.demandAt.IsZero() {
		l.demand = l.demandRaw(now)
	}
	l.demand += 1 / demandTime.Seconds()
	l.demandAt = now
}

// demandNow returns this entry's demand in requests per second. The average is corrected for
// the time before it began, in which no request was counted.
func (l *statedLimit) demandNow(now time.Time) float64 {
	if l.demandAt.IsZero() {
		return 0
	}
	counted := max(minDemandTime, now.Sub(l.demandSince))
	return l.demandRaw(now) / (1 - math.Exp(-counted.Seconds()/demandTime.Seconds()))
}

// demandRaw returns the moving average, not corrected.
func (l *statedLimit) demandRaw(now time.Time) float64 {
	return l.demand * math.Exp(-now.Sub(l.demandAt).Seconds()/demandTime.Seconds())
}

// fillLimits adds to a message for the peers the limits that servers state, and this entry's
// demand. Servers that this entry uses come first.
func (f *Fleet) fillLimits(message *teaselv1.Presence, now time.Time) {
	var known []*serverRecord
	for _, server := range f.servers {
		limit := &server.limit
		if limit.statedAt.IsZero() {
			continue
		}
		if limit.limited {
			f.refill(server, now)
		}
		news := limit.own && now.Sub(limit.statedAt) < liftedReportTime
		if !limit.user {
			limit.reported = nil
		}
		if news || limit.limited && limit.user {
			known = append(known, server)
		}
	}
	slices.SortFunc(known, func(a, b *serverRecord) int {
		if a.limit.user != b.limit.user {
			if a.limit.user {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	for i, server := range known {
		limit := &server.limit
		demand := limit.demandNow(now)
		if i >= maxReportedLimits || demand < minReportedDemand {
			demand = 0
		}
		limit.recordReport(demand, now)
		if i >= maxReportedLimits || demand == 0 && !limit.own {
			continue
		}
		report := &teaselv1.ServerLimit{
			Server: server.wireHash(),
			Demand: float32(demand),
		}
		if limit.own {
			report.Limited, report.PerSecond = limit.limited, limit.perSecond
			// An age of zero says that the report is of the demand only.
			report.AgeMs = uint32(max(1, now.Sub(limit.statedAt).Milliseconds()))
		}
		message.Limits = append(message.Limits, report)
	}
}

// recordReport records the demand that the peers are told.
func (l *statedLimit) recordReport(demand float64, now time.Time) {
	for len(l.reported) > 1 && now.Sub(l.reported[0].at) > demandLifetime {
		l.reported = l.reported[1:]
	}
	l.reported = append(l.reported, reportedDemand{
		at:        now,
		perSecond: demand,
	})
}

// applyLimits records the limits that servers stated to a peer, and the peer's demand. Of the
// statements of a server, the latest holds.
func (f *Fleet) applyLimits(message *teaselv1.Presence, now time.Time) {
	demand := &peerDemand{
		receivedAt: now,
	}
	for _, report := range message.GetLimits() {
		if told := float64(report.GetDemand()); told > 0 && !math.IsInf(told, 0) {
			if demand.perSecond == nil {
				demand.perSecond = make(map[uint32]float64)
			}
			demand.perSecond[report.GetServer()] = told
		}
		server := f.byWireHash[report.GetServer()]
		if server == nil {
			continue
		}
		statedAt := now.Add(-time.Duration(report.GetAgeMs()) * time.Millisecond)
		if report.GetAgeMs() == 0 || !(report.GetPerSecond() >= 0) || !statedAt.After(server.limit.statedAt) || statedAt.Before(server.knownSince) {
			continue
		}
		if !report.GetLimited() && server.limit.statedAt.IsZero() {
			continue
		}
		f.setLimit(server, routing.Statement{
			Limited:      report.GetLimited(),
			RequestLimit: report.GetPerSecond(),
		}, statedAt, false)
	}
	f.peerDemands[message.GetName()] = demand
	maps.DeleteFunc(f.peerDemands, func(_ string, told *peerDemand) bool { return now.Sub(told.receivedAt) > demandLifetime })
}
