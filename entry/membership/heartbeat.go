package membership

import (
	"context"
	"sync"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

// heartbeatTimeoutIntervals is the timeout of one heartbeat, in heartbeat intervals.
const heartbeatTimeoutIntervals = 3

// heartbeatTask describes a goroutine that sends heartbeats to one address.
type heartbeatTask struct {
	// interval is the time between two heartbeats, see nextDelay.
	interval time.Duration
	cancel   context.CancelFunc
}

// Run sends heartbeats and updates the states of peers until ctx is done.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(r.heartbeatInterval)
	defer ticker.Stop()
	for {
		r.updateStates()
		r.updateTasks(ctx)
		select {
		case <-ctx.Done():
			r.group.Wait()
			return
		case <-ticker.C:
		}
	}
}

// updateTasks starts tasks for new heartbeat targets, and stops those of addresses that
// are no longer targets or have a new interval.
func (r *Roster) updateTasks(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := r.heartbeatTargets()
	for address, task := range r.tasks {
		if interval, wanted := targets[address]; !wanted || interval != task.interval {
			task.cancel()
			delete(r.tasks, address)
		}
	}
	for address, interval := range targets {
		if address == "" || address == r.self.GetPeerAddress() || r.tasks[address] != nil {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		r.tasks[address] = &heartbeatTask{
			interval: interval,
			cancel:   cancel,
		}
		if peer := r.peerAt(address); peer != nil {
			peer.monitoredSince = time.Now()
		}
		r.group.Go(func() { r.runTask(taskCtx, address, interval) })
	}
}

// runTask sends heartbeats to an address until ctx is done. It doesn't wait for the
// responses, so that a lost message doesn't delay the next heartbeat. The timeout of a
// heartbeat bounds how many are in flight.
func (r *Roster) runTask(ctx context.Context, address string, interval time.Duration) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		inFlight.Go(func() {
			r.sendHeartbeat(ctx, address)
			r.markSeedContacted(address)
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.nextDelay(address, interval)):
		}
	}
}

// markSeedContacted records that a heartbeat to a seed has been answered or has failed.
func (r *Roster) markSeedContacted(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.uncontactedSeeds, address)
}

// nextDelay returns the time until the next heartbeat to an address. An alive peer that
// was not heard for an interval gets heartbeats at least twice as often, so that a few
// lost messages don't make it suspect.
func (r *Roster) nextDelay(address string, interval time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.peerAt(address)
	if peer != nil && peer.State == Alive && time.Since(peer.LastHeard) > interval {
		return min(interval, r.heartbeatInterval) / 2
	}
	return interval
}

// sendHeartbeat sends one heartbeat to an address and applies the response.
func (r *Roster) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeoutIntervals*r.heartbeatInterval)
	defer cancel()
	now := r.clock.Now()
	peer, delta := r.requestDelta(address)
	request := &teaselv1.HeartbeatRequest{
		Sender:       r.Self(),
		ClockWallNs:  now.Wall,
		ClockLogical: now.Logical,
		Membership:   delta,
	}
	if peer != nil {
		for _, extension := range r.extensions {
			if extension.FillRequest != nil {
				extension.FillRequest(peer, request)
			}
		}
	}
	sentAt := time.Now()
	response, err := r.send(ctx, address, request)
	if err != nil {
		return
	}
	r.mergeClock(response.GetReceiver(), response.GetClockWallNs(), response.GetClockLogical())
	r.recordContact(response.GetReceiver(), time.Since(sentAt))
	r.applyResponse(response.GetReceiver(), delta, response.GetMembership())
	for _, extension := range r.extensions {
		if extension.HandleResponse != nil {
			extension.HandleResponse(sentAt, response)
		}
	}
}

// HandleHeartbeat applies a peer's heartbeat and returns the response.
func (r *Roster) HandleHeartbeat(request *teaselv1.HeartbeatRequest) *teaselv1.HeartbeatResponse {
	now := r.mergeClock(request.GetSender(), request.GetClockWallNs(), request.GetClockLogical())
	r.recordContact(request.GetSender(), 0)
	response := &teaselv1.HeartbeatResponse{
		Receiver:     r.Self(),
		ClockWallNs:  now.Wall,
		ClockLogical: now.Logical,
		Membership:   r.responseDelta(request.GetSender(), request.GetMembership()),
	}
	for _, extension := range r.extensions {
		if extension.HandleRequest != nil {
			extension.HandleRequest(request, response)
		}
	}
	return response
}

// mergeClock advances the hybrid logical clock to a peer's time and returns the current
// time. A peer's time that is too far ahead is ignored, and an event is recorded.
func (r *Roster) mergeClock(peer *teaselv1.Member, wall int64, logical uint32) timeline.Timestamp {
	now, accepted := r.clock.TryObserve(timeline.Timestamp{
		Wall:    wall,
		Logical: logical,
	})
	if !accepted {
		r.events.RecordThrottled("clock-ahead "+peer.GetName(), timeline.Event{
			Kind:   "clock-ahead",
			Detail: "entry=" + peer.GetName(),
		})
	}
	return now
}
