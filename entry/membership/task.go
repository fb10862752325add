package membership

import (
	"context"
	"sync"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

// attemptTimeouts bounds one heartbeat, in intervals.
const attemptTimeouts = 3

// task sends heartbeats to one address.
type task struct {
	interval time.Duration
	cancel   context.CancelFunc
}

// Run sends heartbeats, one task for each peer, until ctx is done.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		r.judge()
		r.assign(ctx)
		select {
		case <-ctx.Done():
			r.group.Wait()
			return
		case <-ticker.C:
		}
	}
}

// assign starts the tasks of peers that became targets, and ends the others.
func (r *Roster) assign(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := r.targets()
	for address, running := range r.tasks {
		if interval, wanted := targets[address]; !wanted || interval != running.interval {
			running.cancel()
			delete(r.tasks, address)
		}
	}
	for address, interval := range targets {
		if address == "" || address == r.self.GetPeerAddress() || r.tasks[address] != nil {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		r.tasks[address] = &task{
			interval: interval,
			cancel:   cancel,
		}
		if peer := r.byAddress(address); peer != nil {
			peer.watchedSince = time.Now()
		}
		r.group.Go(func() { r.heartbeats(taskCtx, address, interval) })
	}
}

// heartbeats sends one after the other without waiting for the answers, so
// that a lost one doesn't hold up the next. The timeout bounds how many are
// open.
func (r *Roster) heartbeats(ctx context.Context, address string, interval time.Duration) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		open.Go(func() {
			r.heartbeat(ctx, address)
			r.asked(address)
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.pace(address, interval)):
		}
	}
}

// asked notes that a seed's first heartbeat has ended.
func (r *Roster) asked(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unasked, address)
}

// pace is the time to the next heartbeat: a silent peer is asked more often,
// so that lost heartbeats are told from a dead peer.
func (r *Roster) pace(address string, interval time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.byAddress(address)
	if peer != nil && peer.State == Alive && time.Since(peer.LastHeard) > interval {
		return min(interval, r.interval) / 2
	}
	return interval
}

func (r *Roster) heartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeouts*r.interval)
	defer cancel()
	now := r.clock.Now()
	peer, delta := r.ask(address)
	request := &teaselv1.HeartbeatRequest{
		Sender:       r.Self(),
		ClockWallNs:  now.Wall,
		ClockLogical: now.Logical,
		Membership:   delta,
	}
	if peer != nil {
		for _, part := range r.parts {
			if part.FillRequest != nil {
				part.FillRequest(peer, request)
			}
		}
	}
	sent := time.Now()
	response, err := r.call(ctx, address, request)
	if err != nil {
		return
	}
	r.observe(response.GetReceiver(), response.GetClockWallNs(), response.GetClockLogical())
	r.heard(response.GetReceiver(), time.Since(sent))
	r.learn(response.GetReceiver(), delta, response.GetMembership())
	for _, part := range r.parts {
		if part.HandleResponse != nil {
			part.HandleResponse(sent, response)
		}
	}
}

// HandleHeartbeat serves a peer's heartbeat.
func (r *Roster) HandleHeartbeat(request *teaselv1.HeartbeatRequest) *teaselv1.HeartbeatResponse {
	now := r.observe(request.GetSender(), request.GetClockWallNs(), request.GetClockLogical())
	r.heard(request.GetSender(), 0)
	response := &teaselv1.HeartbeatResponse{
		Receiver:     r.Self(),
		ClockWallNs:  now.Wall,
		ClockLogical: now.Logical,
		Membership:   r.reply(request.GetSender(), request.GetMembership()),
	}
	for _, part := range r.parts {
		if part.HandleRequest != nil {
			part.HandleRequest(request, response)
		}
	}
	return response
}

// observe takes a peer's clock over, unless it is too far ahead.
func (r *Roster) observe(peer *teaselv1.Member, wall int64, logical uint32) timeline.Timestamp {
	now, followed := r.clock.TryObserve(timeline.Timestamp{
		Wall:    wall,
		Logical: logical,
	})
	if !followed {
		r.events.RecordThrottled("clock-ahead "+peer.GetName(), timeline.Event{
			Kind:   "clock-ahead",
			Detail: "entry=" + peer.GetName(),
		})
	}
	return now
}
