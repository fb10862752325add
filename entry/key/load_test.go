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

// load is what one entry made of callers' own keys at a steady rate.
type load struct {
	rate      int
	roundTrip time.Duration
	claimed   int
	refused   int
	commits   uint64
	rows      int
	median    time.Duration
	worst     time.Duration
}

// runLoad claims and ends keys at a rate for ten seconds.
func runLoad(t *testing.T, rate int, roundTrip time.Duration, options ...key.Option) load {
	const length = 10 * time.Second
	result := load{
		rate:      rate,
		roundTrip: roundTrip,
	}
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		table, rows := slow(&store, roundTrip)
		var mu sync.Mutex
		var waits []time.Duration
		withRegister(t, "entry-1", table, func(register *key.Register) {
			var group sync.WaitGroup
			for i := range rate * int(length/time.Second) {
				group.Go(func() {
					time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
					began := time.Now()
					claim, refusal := register.Claim(t.Context(), use(fmt.Sprintf("key-%d", i)))
					mu.Lock()
					defer mu.Unlock()
					if claim == nil {
						assert.Check(t, refusal.Outcome.Kind != outcome.Done)
						result.refused++
						return
					}
					waits = append(waits, time.Since(began))
					claim.Finish(done(""))
				})
			}
			group.Wait()
		}, options...)
		slices.Sort(waits)
		result.claimed = len(waits)
		result.commits = store.Commits()
		result.rows = *rows
		result.median = waits[len(waits)/2]
		result.worst = waits[len(waits)*99/100]
	})
	return result
}

// commitsPerEntry is an entry's share of a store that takes several hundred
// writes a second for seven entries.
const commitsPerEntry = 300.0 / 7

// TestGroupCommitStaysWithinShare drives one entry at growing rates, with group commit and
// without, and holds it to its share of the store.
func TestGroupCommitStaysWithinShare(t *testing.T) {
	var table strings.Builder
	fmt.Fprintln(&table, "batch  keys/s  round trip  claimed  refused  commits/key  rows/key  median   p99")
	for _, batch := range []int{64, 1} {
		for _, roundTrip := range []time.Duration{2 * time.Millisecond, 110 * time.Millisecond} {
			for _, rate := range []int{1, 10, 50, 200, 1000} {
				got := runLoad(t, rate, roundTrip, key.WithMaxBatch(batch))
				fmt.Fprintf(&table, "%5d  %6d  %10s  %6.1f%%  %6.1f%%  %11.2f  %8.2f  %-7s  %s\n", batch, rate, roundTrip,
					100*float64(got.claimed)/float64(got.claimed+got.refused),
					100*float64(got.refused)/float64(got.claimed+got.refused),
					float64(got.commits)/float64(got.claimed),
					float64(got.rows)/float64(got.claimed),
					got.median.Round(time.Millisecond), got.worst.Round(time.Millisecond))
				assert.Check(t, float64(got.commits) < commitsPerEntry*10+20 || batch == 1, "%d commits in ten seconds", got.commits)
				assert.Check(t, batch == 1 || got.refused == 0, "rate %d: %d refused", rate, got.refused)
			}
		}
	}
	t.Log("\n" + table.String())
}

// TestExcessClaimsAreRefused claims far more keys at once than the journal lets wait: those
// above are refused at once, and none of them is left in the table as claimed
// by a request that runs.
func TestExcessClaimsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		table, _ := slow(&store, time.Second)
		withRegister(t, "entry-1", table, func(register *key.Register) {
			var group sync.WaitGroup
			var mu sync.Mutex
			reasons := make(map[outcome.Reason]int)
			for i := range 3000 {
				group.Go(func() {
					claim, refusal := register.Claim(t.Context(), use(fmt.Sprintf("key-%d", i)))
					mu.Lock()
					defer mu.Unlock()
					if claim == nil {
						reasons[refusal.Outcome.Reason]++
						return
					}
					reasons[""]++
					claim.Finish(done(""))
				})
			}
			group.Wait()
			assert.Equal(t, len(reasons), 2, "%v", reasons)
			assert.Assert(t, reasons[""] >= 1024, "%v", reasons)
			assert.Assert(t, reasons[outcome.ReasonStoreBusy] > 1000, "%v", reasons)
		})
	})
}

// BenchmarkRememberedKey reports the memory of one remembered key, without its
// answer and with one of 200 bytes.
func BenchmarkRememberedKey(b *testing.B) {
	const count = 50_000
	for _, body := range []int{-1, 200} {
		b.Run(fmt.Sprintf("answer-%d", body), func(b *testing.B) {
			for b.Loop() {
				register := key.New("entry-1", 1, (&memory.Store{}).Platform().Table, key.WithMaxResponseBytes(1<<30))
				before := heap()
				for range count {
					claim, _ := register.Claim(b.Context(), use(register.IssueTicket()))
					result := done(strings.Repeat("x", max(0, body)))
					if body < 0 {
						result.Response = nil
					}
					claim.Finish(result)
				}
				b.ReportMetric(float64(heap()-before)/count, "B/key")
				runtime.KeepAlive(register)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCommit times one transaction of 64 claims over HTTP, with nothing
// but the key in each row, and with bodies of offers beside it.
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
					Value: make([]byte, claimBytes(b)+body),
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

// claimBytes returns the length of a claim's row.
func claimBytes(b *testing.B) int {
	var store memory.Store
	ctx, cancel := context.WithCancel(b.Context())
	var group sync.WaitGroup
	register := key.New("entry-1", uint64(time.Now().UnixNano()), store.Platform().Table)
	group.Go(func() { register.Run(ctx) })
	_, _ = register.Claim(ctx, use("key"))
	cancel()
	group.Wait()
	rows, err := store.Scan(b.Context(), "key/")
	assert.NilError(b, err)
	return len(rows[0].Value)
}

// BenchmarkTicket times the claim of a ticket and its end.
func BenchmarkTicket(b *testing.B) {
	register := key.New("entry-1", 1, (&memory.Store{}).Platform().Table, key.WithMaxKeys(1<<30))
	for b.Loop() {
		claim, _ := register.Claim(b.Context(), use(register.IssueTicket()))
		claim.Finish(key.Result{
			Outcome: outcome.FromPhase(outcome.Answered, "", ""),
		})
	}
}
