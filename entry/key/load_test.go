package key_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

// loadStats holds the parameters and measurements of a run in which one entry claims
// callers' own keys, not tickets, at a constant rate.
type loadStats struct {
	keysPerSecond int
	// commitLatency is the duration of each commit.
	commitLatency time.Duration
	// claimed and refused count keys, and commits counts transactions.
	claimed int
	refused int
	commits uint64
	// rowsWritten counts the writes of committed transactions.
	rowsWritten int
	// median and p99 are percentiles of the time to claim a key.
	median time.Duration
	p99    time.Duration
}

// runLoad claims and finishes keys at a rate, in keys per second, for ten
// seconds. Each commit takes commitLatency.
func runLoad(t *testing.T, rate int, commitLatency time.Duration, options ...key.Option) loadStats {
	const duration = 10 * time.Second
	result := loadStats{
		keysPerSecond: rate,
		commitLatency: commitLatency,
	}
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		table, rows := slowTable(&store, commitLatency)
		var mu sync.Mutex
		var claimTimes []time.Duration
		withRegister(t, "entry-1", table, func(register *key.Register) {
			var requests sync.WaitGroup
			for i := range rate * int(duration/time.Second) {
				requests.Go(func() {
					time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
					start := time.Now()
					claim, refusal := register.Claim(t.Context(), newRequest(fmt.Sprintf("key-%d", i)))
					mu.Lock()
					defer mu.Unlock()
					if claim == nil {
						assert.Check(t, refusal.Outcome.Kind != outcome.Done)
						result.refused++
						return
					}
					claimTimes = append(claimTimes, time.Since(start))
					claim.Finish(doneResult(""))
				})
			}
			requests.Wait()
		}, options...)
		slices.Sort(claimTimes)
		result.claimed = len(claimTimes)
		result.commits = store.Commits()
		result.rowsWritten = *rows
		result.median = claimTimes[len(claimTimes)/2]
		result.p99 = claimTimes[len(claimTimes)*99/100]
	})
	return result
}

// commitRatePerEntry is the limit of one entry's commits per second: its share of the
// 300 of totalCommitRate, with defaultEntryCount entries.
const commitRatePerEntry = 300.0 / 7

// TestGroupCommitStaysWithinShare claims keys at increasing rates. With group commit, the
// entry must keep within its share of the commits per second and refuse no key. The
// runs without group commit (batch 1) are only logged, for comparison.
func TestGroupCommitStaysWithinShare(t *testing.T) {
	var report strings.Builder
	fmt.Fprintln(&report, "batch  keys/s  round trip  claimed  refused  commits/key  rows/key  median   p99")
	for _, batch := range []int{64, 1} {
		for _, commitLatency := range []time.Duration{2 * time.Millisecond, 110 * time.Millisecond} {
			for _, rate := range []int{1, 10, 50, 200, 1000} {
				got := runLoad(t, rate, commitLatency, key.WithMaxBatch(batch))
				fmt.Fprintf(&report, "%5d  %6d  %10s  %6.1f%%  %6.1f%%  %11.2f  %8.2f  %-7s  %s\n", batch, rate, commitLatency,
					100*float64(got.claimed)/float64(got.claimed+got.refused),
					100*float64(got.refused)/float64(got.claimed+got.refused),
					float64(got.commits)/float64(got.claimed),
					float64(got.rowsWritten)/float64(got.claimed),
					got.median.Round(time.Millisecond), got.p99.Round(time.Millisecond))
				// 20 commits are allowed for the initial burst and for those after the ten
				// seconds.
				assert.Check(t, float64(got.commits) < commitRatePerEntry*10+20 || batch == 1, "%d commits in ten seconds", got.commits)
				assert.Check(t, batch == 1 || got.refused == 0, "rate %d: %d refused", rate, got.refused)
			}
		}
	}
	t.Log("\n" + report.String())
}

// TestExcessClaimsAreRefused claims many more keys concurrently than the queue of
// writes holds. The excess claims must be refused with reason store-busy.
func TestExcessClaimsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		table, _ := slowTable(&store, time.Second)
		withRegister(t, "entry-1", table, func(register *key.Register) {
			var group sync.WaitGroup
			var mu sync.Mutex
			reasons := make(map[outcome.Reason]int)
			for i := range 3000 {
				group.Go(func() {
					claim, refusal := register.Claim(t.Context(), newRequest(fmt.Sprintf("key-%d", i)))
					mu.Lock()
					defer mu.Unlock()
					if claim == nil {
						reasons[refusal.Outcome.Reason]++
						return
					}
					reasons[""]++
					claim.Finish(doneResult(""))
				})
			}
			group.Wait()
			// The queue holds 1024 writes (maxUrgentWrites), and at most maxCommitsInFlight
			// batches are in flight, so more than 1000 of the 3000 claims are refused.
			assert.Equal(t, len(reasons), 2, "%v", reasons)
			assert.Assert(t, reasons[""] >= 1024, "%v", reasons)
			assert.Assert(t, reasons[outcome.ReasonStoreBusy] > 1000, "%v", reasons)
		})
	})
}

// BenchmarkRememberedKey reports the memory that one remembered key takes,
// without a response and with a response of 200 bytes.
func BenchmarkRememberedKey(b *testing.B) {
	// The default limit of remembered keys.
	const count = 50_000
	// -1 stands for no response.
	for _, body := range []int{-1, 200} {
		b.Run(fmt.Sprintf("answer-%d", body), func(b *testing.B) {
			for b.Loop() {
				register := key.New("entry-1", 1, (&memory.Store{}).Platform().Table, key.WithMaxResponseBytes(1<<30))
				before := heapBytes()
				for range count {
					claim, _ := register.Claim(b.Context(), newRequest(register.IssueTicket()))
					result := doneResult(strings.Repeat("x", max(0, body)))
					if body < 0 {
						result.Response = nil
					}
					claim.Finish(result)
				}
				b.ReportMetric(float64(heapBytes()-before)/count, "B/key")
				runtime.KeepAlive(register)
			}
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCommit measures encoding a transaction of 64 rows and sending it to a stub
// HTTP server. The rows are as large as a claim, or as a claim and a request body.
func BenchmarkCommit(b *testing.B) {
	const batch = 64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Upserts []platform.StoreRow `json:"upserts"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(platform.StoreRows{
			Version: 1,
		})
	}))
	defer server.Close()
	table := platform.NewClient(server.URL, server.Client()).Platform().Table
	for _, body := range []int{0, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body-%d", body), func(b *testing.B) {
			writes := make([]platform.Write, batch)
			for i := range writes {
				writes[i] = platform.Write{
					Row:   fmt.Sprintf("key/000/%032d", i),
					Value: make([]byte, claimRowBytes(b)+body),
				}
			}
			for b.Loop() {
				_, err := table.Commit(b.Context(), writes)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(writes[0].Value)), "B/row")
		})
	}
}

// claimRowBytes returns the size of a claim's row in bytes.
func claimRowBytes(b *testing.B) int {
	var store memory.Store
	ctx, cancel := context.WithCancel(b.Context())
	var group sync.WaitGroup
	// The incarnation is as long as that of a real process, since it is part of the row.
	register := key.New("entry-1", uint64(time.Now().UnixNano()), store.Platform().Table)
	group.Go(func() { register.Run(ctx) })
	_, _ = register.Claim(ctx, newRequest("key"))
	cancel()
	group.Wait()
	rows, err := store.Scan(b.Context(), "key/")
	assert.NilError(b, err)
	return len(rows[0].Value)
}

// BenchmarkTicket measures claiming a ticket and finishing the claim.
func BenchmarkTicket(b *testing.B) {
	register := key.New("entry-1", 1, (&memory.Store{}).Platform().Table, key.WithMaxKeys(1<<30))
	for b.Loop() {
		claim, _ := register.Claim(b.Context(), newRequest(register.IssueTicket()))
		claim.Finish(key.Result{
			Outcome: outcome.FromPhase(outcome.Answered, "", ""),
		})
	}
}
