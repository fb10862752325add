package placement

import "time"

// Summary counts what is known of the servers.
type Summary struct {
	Known    int
	Failing  int
	Cold     int
	Draining int
	// InFlight is how many requests of this entry they run or hold.
	InFlight int
}

// Summary counts what is known of the servers now.
func (f *Fleet) Summary() Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var sum Summary
	for _, each := range f.servers {
		sum.Known++
		sum.InFlight += each.inFlight
		if f.failing(each, now) {
			sum.Failing++
		}
		if now.Before(each.coldUntil) {
			sum.Cold++
		}
		if each.Draining {
			sum.Draining++
		}
	}
	return sum
}
