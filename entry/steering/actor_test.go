package steering_test

import (
	"time"
)

// actor is one task of a replay. No two act at the same instant, so that a trace
// takes the same course in every run, whatever the scheduler does.
type actor struct {
	number int64
	// hold is how long the task's request works.
	hold time.Duration
}

// grain is the distance between the instants at which an actor may act. Each
// has one nanosecond of it, so that fewer tasks than that may run at a time.
const grain = 1 << 17

// spawn starts a task with an actor of its own.
func (r *replay) spawn(task func(a *actor)) {
	r.actors.Lock()
	r.spawned++
	a := &actor{
		number: r.spawned % grain,
	}
	r.actors.Unlock()
	r.group.Go(func() {
		a.sleep(0)
		task(a)
	})
}

// sleep lets the paused clock go on to the actor's next instant after a time.
func (a *actor) sleep(length time.Duration) {
	now := time.Now()
	at := now.Add(length).UnixNano()
	at += (a.number - at%grain + grain) % grain
	time.Sleep(time.Duration(at - now.UnixNano()))
}
