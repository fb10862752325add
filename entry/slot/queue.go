package slot

import (
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

const (
	// maxWaiting bounds the requests that wait for one service, for memory's sake.
	maxWaiting = 4096
	// maxPassedOver is how many requests of higher priorities go before one of a
	// lower priority that waits.
	maxPassedOver = 7
	// maxScan bounds the waiting callers that are tried for one free slot.
	maxScan = 64
	// holdWeight is the weight of the newest measurement in the mean time that a
	// slot is held.
	holdWeight = 0.1
)

// queue holds the requests of one service that wait for a slot: by priority,
// and within a priority by turns among callers, as in Nagle, "On Packet Switches
// with Infinite Storage" (1985).
type queue struct {
	service string
	servers []*server
	// shares holds this entry's part of the caps, by region.
	shares map[string]*share
	levels [priorities]level
	count  int
	// hold is the mean time that a slot is held; 0 before the first measurement.
	hold time.Duration
	// retry pumps again when the caps let the next request through.
	retry *time.Timer
}

// level holds the waiting requests of one priority.
type level struct {
	// lines holds a line for each caller that waits, the next one first.
	lines []*line
	count int
	// passedOver counts requests of higher priorities since this one's turn.
	passedOver int
}

type line struct {
	caller  string
	waiters []*waiter
}

// waiter is one waiting request. A nil grant as its answer says that there is no
// backend server any more.
type waiter struct {
	ask    Request
	answer chan *Grant
}

func newQueue(service string) *queue {
	return &queue{
		service: service,
		shares:  make(map[string]*share),
	}
}

// configure takes the caps over.
func (q *queue) configure(service *intent.Service, paired bool) {
	shares := make(map[string]*share)
	for _, region := range service.Regions {
		known := q.shares[region.Name]
		if known == nil {
			known = newShare()
			known.fresh = !paired
		}
		known.caps = region
		known.ramp = time.Duration(service.Ramp)
		known.slots = 0
		for i := range service.BackendServers {
			if service.BackendServers[i].Region == region.Name {
				known.slots += service.BackendServers[i].Slots
			}
		}
		shares[region.Name] = known
	}
	q.shares = shares
}

// offers reports whether the queue has a backend server that the ask may use.
func (q *queue) offers(ask Request) bool {
	return slices.ContainsFunc(q.servers, func(s *server) bool { return s.takes(ask) })
}

// takes reports whether a server may be given the request at all.
func (s *server) takes(ask Request) bool {
	return s.open() && !slices.Contains(ask.Exclude, s.intent.Name)
}

// open reports whether a server takes new work.
func (s *server) open() bool {
	return !s.draining && !s.failing
}

// choose returns the server with the most free slots that the caps let the ask
// use now, or nil. Among equals the one that began a request longest ago goes
// first. The caller holds the lock.
func (l *Ledger) choose(q *queue, ask Request, now time.Time) *server {
	l.share(q, now)
	var best *server
	most := 0
	for _, known := range q.servers {
		if !known.takes(ask) || !q.shares[known.intent.Region].allows(now, ask.FromRegion != known.intent.Region) {
			continue
		}
		free := l.usable(known, now) - known.inUse
		if free > most || free > 0 && free == most && known.lastStart.Before(best.lastStart) {
			best = known
			most = free
		}
	}
	return best
}

// share sets this entry's parts of the caps to its parts of the slots.
func (l *Ledger) share(q *queue, now time.Time) {
	for _, known := range q.shares {
		known.owned = 0
	}
	for _, known := range q.servers {
		q.shares[known.intent.Region].owned += l.usable(known, now)
	}
	for _, known := range q.shares {
		known.set(now)
	}
}

// mayWait reports whether a request that has to wait can be expected to end
// before its deadline.
func (q *queue) mayWait(l *Ledger, ask Request, now time.Time, deadline time.Time, bounded bool) bool {
	if q.count >= maxWaiting {
		return false
	}
	usable, free := 0, 0
	for _, known := range q.servers {
		if known.takes(ask) {
			slots := l.usable(known, now)
			usable += slots
			free += max(0, slots-known.inUse)
		}
	}
	if usable == 0 {
		return false
	}
	if !bounded {
		return true
	}
	ahead := 1
	for priority := ask.Priority; priority < priorities; priority++ {
		ahead += q.levels[priority].count
	}
	wait := time.Duration(float64(q.hold) * float64(max(0, ahead-free)) / float64(usable))
	wait = max(wait, q.rateWait(ask, now, ahead))
	return !now.Add(wait + q.hold).After(deadline)
}

// briefWait is how long a request waits for the caps where it shall not wait.
const briefWait = 20 * time.Millisecond

// brief reports whether a slot is free for a request, and the caps let it through
// soon.
func (q *queue) brief(l *Ledger, ask Request, now time.Time) bool {
	free := 0
	for _, known := range q.servers {
		if known.takes(ask) {
			free += max(0, l.usable(known, now)-known.inUse)
		}
	}
	return free > q.count && q.rateWait(ask, now, q.count+1) <= briefWait
}

// rateWait returns how long the caps make the request at a position wait, in the
// region that lets it through first.
func (q *queue) rateWait(ask Request, now time.Time, position int) time.Duration {
	shortest := time.Duration(-1)
	for region, known := range q.shares {
		if known.owned == 0 {
			continue
		}
		if wait := known.wait(now, ask.FromRegion != region, position); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// push puts a request at the end of its caller's line.
func (q *queue) push(ask Request) *waiter {
	request := &waiter{
		ask:    ask,
		answer: make(chan *Grant, 1),
	}
	waiting := &q.levels[ask.Priority]
	at := slices.IndexFunc(waiting.lines, func(l *line) bool { return l.caller == ask.Caller })
	if at < 0 {
		at = len(waiting.lines)
		waiting.lines = append(waiting.lines, &line{
			caller: ask.Caller,
		})
	}
	waiting.lines[at].waiters = append(waiting.lines[at].waiters, request)
	waiting.count++
	q.count++
	return request
}

// remove takes a request out and reports whether it was still waiting.
func (q *queue) remove(request *waiter) bool {
	waiting := &q.levels[request.ask.Priority]
	for at, each := range waiting.lines {
		if each.caller != request.ask.Caller {
			continue
		}
		position := slices.Index(each.waiters, request)
		if position < 0 {
			return false
		}
		each.waiters = slices.Delete(each.waiters, position, position+1)
		if len(each.waiters) == 0 {
			waiting.lines = slices.Delete(waiting.lines, at, at+1)
		}
		waiting.count--
		q.count--
		return true
	}
	return false
}

// refuseAll answers all waiting requests that the service is gone.
func (q *queue) refuseAll() {
	for at := range q.levels {
		for _, each := range q.levels[at].lines {
			for _, request := range each.waiters {
				request.answer <- nil
			}
		}
		q.levels[at] = level{}
	}
	q.count = 0
}

// measure takes the time that a slot was held into the mean.
func (q *queue) measure(hold time.Duration) {
	if q.hold == 0 {
		q.hold = hold
		return
	}
	q.hold += time.Duration(holdWeight * float64(hold-q.hold))
}

func (l *Ledger) pumpAll(now time.Time) {
	for _, waiting := range l.queues {
		l.pump(waiting, now)
	}
}

// pump gives free slots to waiting requests, one each. The caller holds the lock.
func (l *Ledger) pump(q *queue, now time.Time) {
	l.share(q, now)
	if q.count > 0 && !l.anyUsable(q, now) {
		q.refuseAll()
	}
	for q.count > 0 && l.anyFree(q, now) {
		request, chosen := l.next(q, now)
		if request == nil {
			l.retryLater(q, now)
			return
		}
		q.took(request)
		request.answer <- l.start(chosen, q, request.ask, now)
	}
}

// anyUsable reports whether this entry may use a slot of some server that takes
// new work. Without one, what waits is better tried at another home.
func (l *Ledger) anyUsable(q *queue, now time.Time) bool {
	return slices.ContainsFunc(q.servers, func(s *server) bool {
		return s.open() && l.usable(s, now) > 0
	})
}

func (l *Ledger) anyFree(q *queue, now time.Time) bool {
	return slices.ContainsFunc(q.servers, func(s *server) bool {
		return s.open() && s.inUse < l.usable(s, now)
	})
}

// next returns the first request in order that a free slot suits.
func (l *Ledger) next(q *queue, now time.Time) (*waiter, *server) {
	scanned := 0
	for _, priority := range q.order() {
		for _, each := range q.levels[priority].lines {
			if scanned++; scanned > maxScan {
				return nil, nil
			}
			if chosen := l.choose(q, each.waiters[0].ask, now); chosen != nil {
				return each.waiters[0], chosen
			}
		}
	}
	return nil, nil
}

// order lists the priorities, highest first, save that one that was passed over
// often enough goes before all.
func (q *queue) order() [priorities]Priority {
	order := [priorities]Priority{PriorityNonIdempotent, PriorityIdempotent, PriorityBulk}
	for at := 1; at < priorities; at++ {
		if waiting := &q.levels[order[at]]; waiting.count > 0 && waiting.passedOver >= maxPassedOver {
			due := order[at]
			copy(order[1:at+1], order[:at])
			order[0] = due
		}
	}
	return order
}

// took removes a request whose turn it is and puts its caller last.
func (q *queue) took(request *waiter) {
	for lower := Priority(0); lower < request.ask.Priority; lower++ {
		if q.levels[lower].count > 0 {
			q.levels[lower].passedOver++
		}
	}
	waiting := &q.levels[request.ask.Priority]
	waiting.passedOver = 0
	at := slices.IndexFunc(waiting.lines, func(l *line) bool { return l.caller == request.ask.Caller })
	turn := waiting.lines[at]
	turn.waiters = turn.waiters[1:]
	waiting.lines = slices.Delete(waiting.lines, at, at+1)
	if len(turn.waiters) > 0 {
		waiting.lines = append(waiting.lines, turn)
	}
	waiting.count--
	q.count--
}

// retryLater pumps again when the caps let a request through.
func (l *Ledger) retryLater(q *queue, now time.Time) {
	wait := tickInterval
	for _, known := range q.shares {
		if known.owned > 0 {
			wait = min(wait, max(time.Millisecond, known.wait(now, false, 1)))
		}
	}
	if q.retry == nil {
		q.retry = time.AfterFunc(wait, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.pump(q, l.observe())
		})
		return
	}
	q.retry.Reset(wait)
}
