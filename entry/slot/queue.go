package slot

import (
	"slices"
	"time"

	"github.com/teaselstack/teaselstack/intent"
)

const (
	// maxWaiting is the maximum number of requests that wait for slots of one
	// service; it bounds memory.
	maxWaiting = 4096
	// maxPassedOver is how many requests of higher priorities may get a slot before
	// the first waiting request of a lower priority; it prevents starvation.
	maxPassedOver = 7
	// maxScanned is the maximum number of waiting callers whose next request is
	// tried for one free slot.
	maxScanned = 64
	// holdTimeWeight is the weight of a new measurement in the exponentially
	// weighted mean of how long requests hold a slot.
	holdTimeWeight = 0.1
)

// queue holds the requests of one service that wait for a slot. They are ordered by
// priority. Within a priority, callers take turns (fair queuing); see Nagle, "On
// Packet Switches with Infinite Storage" (1985).
type queue struct {
	service string
	// servers holds the backend servers of the service at which this entry has a
	// seat.
	servers []*server
	// shares holds this entry's share of the caps, by region.
	shares map[string]*capShare
	// levels holds the waiting requests by priority; count is their number.
	levels [priorityCount]level
	count  int
	// meanHoldTime is the exponentially weighted mean of how long a request holds its
	// slot; 0 before the first measurement.
	meanHoldTime time.Duration
	// retryTimer assigns slots again when the caps allow the next request; nil
	// before the first call of scheduleRetry.
	retryTimer *time.Timer
}

// level holds the waiting requests of one priority.
type level struct {
	// callers holds a queue for each caller that waits, the one whose turn is
	// next first.
	callers []*callerQueue
	// count is the number of waiting requests of all callers.
	count int
	// passedOver is the number of requests of higher priorities that went first
	// since the last turn of this priority.
	passedOver int
}

// callerQueue holds the waiting requests of one caller, oldest first.
type callerQueue struct {
	caller  string
	waiters []*waiter
}

// waiter is one waiting request. Its channel receives the grant, or nil if the
// request is refused because this entry may no longer use any slot of the service.
type waiter struct {
	request Request
	grant   chan *Grant
}

func newQueue(service string) *queue {
	return &queue{
		service: service,
		shares:  make(map[string]*capShare),
	}
}

// configureCaps applies the caps of a service and keeps the token buckets of the
// regions that the service had before.
func (q *queue) configureCaps(service *intent.Service, leasesEnabled bool) {
	shares := make(map[string]*capShare)
	for _, region := range service.Regions {
		share := q.shares[region.Name]
		if share == nil {
			share = newCapShare()
			share.startFull = !leasesEnabled
		}
		share.caps = region
		share.ramp = time.Duration(service.Ramp)
		share.regionSlots = 0
		for i := range service.BackendServers {
			if service.BackendServers[i].Region == region.Name {
				share.regionSlots += service.BackendServers[i].Slots
			}
		}
		shares[region.Name] = share
	}
	q.shares = shares
}

// hasServerFor reports whether the queue has a backend server that may be given
// the request, regardless of free slots.
func (q *queue) hasServerFor(request Request) bool {
	return slices.ContainsFunc(q.servers, func(s *server) bool { return s.accepts(request) })
}

// accepts reports whether the server may be given the request, regardless of free
// slots: it accepts work and the request does not exclude it.
func (s *server) accepts(request Request) bool {
	return s.acceptsWork() && !slices.Contains(request.Exclude, s.declared.Name)
}

// acceptsWork reports whether the server may be given new requests: it is neither
// draining nor failing.
func (s *server) acceptsWork() bool {
	return !s.draining && !s.failing
}

// chooseServer returns the server with the most free slots that the caps allow
// the request to use now, or nil. Among servers with equally many it returns
// the one on which this entry least recently started a request. The caller holds the
// lock.
func (l *Ledger) chooseServer(q *queue, request Request, now time.Time) *server {
	l.updateShares(q, now)
	var best *server
	most := 0
	for _, backend := range q.servers {
		if !backend.accepts(request) || !q.shares[backend.declared.Region].allows(now, request.OriginRegion != backend.declared.Region) {
			continue
		}
		free := l.usableSlots(backend, now) - backend.inUse
		if free > most || free > 0 && free == most && backend.lastStart.Before(best.lastStart) {
			best = backend
			most = free
		}
	}
	return best
}

// updateShares sets this entry's shares of the caps in proportion to its usable
// slots. The caller holds the lock.
func (l *Ledger) updateShares(q *queue, now time.Time) {
	for _, share := range q.shares {
		share.usableSlots = 0
	}
	for _, backend := range q.servers {
		q.shares[backend.declared.Region].usableSlots += l.usableSlots(backend, now)
	}
	for _, share := range q.shares {
		share.updateRates(now)
	}
}

// canMeetDeadline reports whether a request that has to wait can be expected to end
// before its deadline, or has none. It reports false as well if the queue is full, or if
// this entry may use no slot of a server that accepts the request. The caller holds the
// lock.
func (q *queue) canMeetDeadline(l *Ledger, request Request, now time.Time, deadline time.Time, hasDeadline bool) bool {
	if q.count >= maxWaiting {
		return false
	}
	usable, free := 0, 0
	for _, backend := range q.servers {
		if backend.accepts(request) {
			slots := l.usableSlots(backend, now)
			usable += slots
			free += max(0, slots-backend.inUse)
		}
	}
	if usable == 0 {
		return false
	}
	if !hasDeadline {
		return true
	}
	position := 1
	for priority := request.Priority; priority < priorityCount; priority++ {
		position += q.levels[priority].count
	}
	wait := time.Duration(float64(q.meanHoldTime) * float64(max(0, position-free)) / float64(usable))
	wait = max(wait, q.capsWait(request, now, position))
	return !now.Add(wait + q.meanHoldTime).After(deadline)
}

// maxImmediateWait is the maximum time that a request with Immediate set waits
// for the caps.
const maxImmediateWait = 20 * time.Millisecond

// immediatelyAvailable reports whether the free slots outnumber the waiting requests,
// and the caps allow the request to start after these within maxImmediateWait. The
// caller holds the lock.
func (q *queue) immediatelyAvailable(l *Ledger, request Request, now time.Time) bool {
	free := 0
	for _, backend := range q.servers {
		if backend.accepts(request) {
			free += max(0, l.usableSlots(backend, now)-backend.inUse)
		}
	}
	return free > q.count && q.capsWait(request, now, q.count+1) <= maxImmediateWait
}

// capsWait returns how long the caps delay a request at a position of the queue,
// counted from one, in the region whose caps delay it least. It is 0 if this entry may
// use slots in no region.
func (q *queue) capsWait(request Request, now time.Time, position int) time.Duration {
	shortest := time.Duration(-1)
	for region, share := range q.shares {
		if share.usableSlots == 0 {
			continue
		}
		if wait := share.wait(now, request.OriginRegion != region, position); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// enqueue appends a request to the queue of its caller.
func (q *queue) enqueue(request Request) *waiter {
	waiting := &waiter{
		request: request,
		grant:   make(chan *Grant, 1),
	}
	level := &q.levels[request.Priority]
	index := slices.IndexFunc(level.callers, func(c *callerQueue) bool { return c.caller == request.Caller })
	if index < 0 {
		index = len(level.callers)
		level.callers = append(level.callers, &callerQueue{
			caller: request.Caller,
		})
	}
	level.callers[index].waiters = append(level.callers[index].waiters, waiting)
	level.count++
	q.count++
	return waiting
}

// remove removes a request from the queue and reports whether it was still there.
func (q *queue) remove(waiting *waiter) bool {
	level := &q.levels[waiting.request.Priority]
	for index, fifo := range level.callers {
		if fifo.caller != waiting.request.Caller {
			continue
		}
		position := slices.Index(fifo.waiters, waiting)
		if position < 0 {
			return false
		}
		fifo.waiters = slices.Delete(fifo.waiters, position, position+1)
		if len(fifo.waiters) == 0 {
			level.callers = slices.Delete(level.callers, index, index+1)
		}
		level.count--
		q.count--
		return true
	}
	return false
}

// refuseAll removes all waiting requests and gives each a nil grant, which makes
// Acquire return ErrNoServer.
func (q *queue) refuseAll() {
	for priority := range q.levels {
		for _, fifo := range q.levels[priority].callers {
			for _, waiting := range fifo.waiters {
				waiting.grant <- nil
			}
		}
		q.levels[priority] = level{}
	}
	q.count = 0
}

// recordHoldTime adds a measurement to the mean time that a request holds its
// slot.
func (q *queue) recordHoldTime(hold time.Duration) {
	if q.meanHoldTime == 0 {
		q.meanHoldTime = hold
		return
	}
	q.meanHoldTime += time.Duration(holdTimeWeight * float64(hold-q.meanHoldTime))
}

// assignAllSlots calls assignSlots for every service.
func (l *Ledger) assignAllSlots(now time.Time) {
	for _, q := range l.queues {
		l.assignSlots(q, now)
	}
}

// assignSlots gives free slots to waiting requests, one each, and refuses all of
// them if this entry may use no slot. The caller holds the lock.
func (l *Ledger) assignSlots(q *queue, now time.Time) {
	l.updateShares(q, now)
	if q.count > 0 && !l.hasUsableSlot(q, now) {
		q.refuseAll()
	}
	for q.count > 0 && l.hasFreeSlot(q, now) {
		waiting, chosen := l.nextWaiter(q, now)
		if waiting == nil {
			l.scheduleRetry(q, now)
			return
		}
		q.dequeue(waiting)
		waiting.grant <- l.grantSlot(chosen, q, waiting.request, now)
	}
}

// hasUsableSlot reports whether this entry may use any slot of a server that
// accepts work. If it may use none, assignSlots refuses the waiting requests, so
// that they can be sent to another entry with a seat.
func (l *Ledger) hasUsableSlot(q *queue, now time.Time) bool {
	return slices.ContainsFunc(q.servers, func(s *server) bool {
		return s.acceptsWork() && l.usableSlots(s, now) > 0
	})
}

// hasFreeSlot reports whether a server that accepts work has a slot that this entry
// may use and that is free.
func (l *Ledger) hasFreeSlot(q *queue, now time.Time) bool {
	return slices.ContainsFunc(q.servers, func(s *server) bool {
		return s.acceptsWork() && s.inUse < l.usableSlots(s, now)
	})
}

// nextWaiter returns the waiting request that is next to start and the server to start
// it on. It tries the oldest request of each caller, in priorityOrder and, within a
// priority, in the order of turns. It returns nil if none of the first maxScanned
// callers' requests can be given a slot.
func (l *Ledger) nextWaiter(q *queue, now time.Time) (*waiter, *server) {
	scanned := 0
	for _, priority := range q.priorityOrder() {
		for _, fifo := range q.levels[priority].callers {
			if scanned++; scanned > maxScanned {
				return nil, nil
			}
			if chosen := l.chooseServer(q, fifo.waiters[0].request, now); chosen != nil {
				return fifo.waiters[0], chosen
			}
		}
	}
	return nil, nil
}

// priorityOrder returns the priorities from the highest to the lowest, except that a
// priority with waiting requests that was passed over maxPassedOver times comes first.
func (q *queue) priorityOrder() [priorityCount]Priority {
	order := [priorityCount]Priority{PriorityNonIdempotent, PriorityIdempotent, PriorityBulk}
	for index := 1; index < priorityCount; index++ {
		if level := &q.levels[order[index]]; level.count > 0 && level.passedOver >= maxPassedOver {
			due := order[index]
			copy(order[1:index+1], order[:index])
			order[0] = due
		}
	}
	return order
}

// dequeue removes a request that is given a slot, moves its caller to the end of the
// callers of its priority and counts the lower priorities as passed over.
func (q *queue) dequeue(waiting *waiter) {
	for lower := Priority(0); lower < waiting.request.Priority; lower++ {
		if q.levels[lower].count > 0 {
			q.levels[lower].passedOver++
		}
	}
	level := &q.levels[waiting.request.Priority]
	level.passedOver = 0
	index := slices.IndexFunc(level.callers, func(c *callerQueue) bool { return c.caller == waiting.request.Caller })
	fifo := level.callers[index]
	fifo.waiters = fifo.waiters[1:]
	level.callers = slices.Delete(level.callers, index, index+1)
	if len(fifo.waiters) > 0 {
		level.callers = append(level.callers, fifo)
	}
	level.count--
	q.count--
}

// scheduleRetry sets a timer that calls assignSlots when the caps of a region allow
// its next request, or after tickInterval if that is earlier. The wait is at least a
// millisecond.
func (l *Ledger) scheduleRetry(q *queue, now time.Time) {
	wait := tickInterval
	for _, share := range q.shares {
		if share.usableSlots > 0 {
			wait = min(wait, max(time.Millisecond, share.wait(now, false, 1)))
		}
	}
	if q.retryTimer == nil {
		q.retryTimer = time.AfterFunc(wait, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.assignSlots(q, l.readClock())
		})
		return
	}
	q.retryTimer.Reset(wait)
}
