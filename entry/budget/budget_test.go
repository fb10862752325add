package budget_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/teaselstack/teaselstack/entry/budget"
)

// TestLongestWaitingGoFirst checks that connections are closed in the order in which they began to
// wait for their clients, that those that don't wait stay, and that those stay that hold little.
func TestLongestWaitingGoFirst(t *testing.T) {
	var evicted []string
	b := &budget.Budget{
		Limit: func() int64 { return 100 },
	}
	open := func(name string, bytes int64) *budget.Account {
		var account *budget.Account
		account = b.Open(func() {
			evicted = append(evicted, name)
			account.Close()
		})
		assert.Assert(t, account.Reserve(bytes))
		return account
	}
	busy, first, small, second := open("busy", 40), open("first", 25), open("small", 1), open("second", 25)
	small.Wait()
	first.Wait()
	second.Wait()
	first.Wait()
	first.Resume()
	newest := open("newest", 9)
	assert.Equal(t, len(evicted), 0)
	newest.Wait()
	assert.Assert(t, newest.Reserve(10))
	assert.DeepEqual(t, evicted, []string{"first"})
	assert.Assert(t, !newest.Reserve(50), "busy, small and newest are in the way")
	assert.DeepEqual(t, evicted, []string{"first", "second"})
	busy.Release(40)
	assert.Assert(t, newest.Reserve(50))
	assert.Assert(t, !first.Reserve(1), "a closed connection gets nothing")
	assert.Assert(t, b.Evict())
	assert.DeepEqual(t, evicted, []string{"first", "second", "small"})
}

// TestBudgetAddsUp checks that, whatever connections do, the budget holds no more than its limit,
// and nothing once all are closed.
func TestBudgetAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := &budget.Budget{
			Limit: func() int64 { return limit },
		}
		type conn struct {
			account     *budget.Account
			held, waits int64
			evicted     bool
		}
		var conns []*conn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(conns) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				c := &conn{}
				c.account = b.Open(func() {
					c.evicted = true
					c.account.Close()
				})
				conns = append(conns, c)
			}
			c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")]
			bytes := rapid.Int64Range(0, 600).Draw(t, "bytes")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				if c.account.Reserve(bytes) {
					c.held += bytes
				}
			case 1:
				if c.account.TryReserve(bytes) {
					c.held += bytes
				}
			case 2:
				released := min(bytes, c.held)
				c.account.Release(released)
				c.held -= released
			case 3:
				c.account.Wait()
				c.waits++
			case 4:
				if c.waits > 0 {
					c.account.Resume()
					c.waits--
				}
			case 5:
				b.Evict()
			}
			sum := int64(0)
			for _, each := range conns {
				if !each.evicted {
					sum += each.held
				}
			}
			if b.Held() != sum || sum > limit {
				t.Fatalf("%d bytes held, %d by the connections, of %d", b.Held(), sum, limit)
			}
		}
		for _, each := range conns {
			each.account.Close()
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes held at the end", b.Held())
		}
	})
}

// TestReserveWaitsForEvictedConnections checks that memory is granted once a closed connection has
// returned it, and refused if that takes too long.
func TestReserveWaitsForEvictedConnections(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			b := &budget.Budget{
				Limit: func() int64 { return 100 },
			}
			var group sync.WaitGroup
			var slow *budget.Account
			slow = b.Open(func() {
				group.Go(func() {
					time.Sleep(delay)
					slow.Close()
				})
			})
			assert.Assert(t, slow.Reserve(80))
			slow.Wait()
			began := time.Now()
			assert.Equal(t, b.Open(func() {}).Reserve(30), delay == time.Second)
			assert.Equal(t, time.Since(began), min(delay, 2*time.Second))
			group.Wait()
		})
	}
}
