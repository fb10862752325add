package key_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

const (
	// maxDeadline is the longest deadline of requests in these tests.
	maxDeadline = time.Minute
	digestText  = "0123456789abcdef"
)

// digest is the digest of all requests in these tests. The text has 16 bytes, the length
// of a Digest.
var digest = key.Digest([]byte(digestText))

// slowTable returns a table of the store whose commits each take commitLatency, and a
// counter of the rows that were written.
func slowTable(store *memory.Store, commitLatency time.Duration) (platform.Table, *int) {
	var mu sync.Mutex
	rows := 0
	table := store.Platform().Table
	commit := table.Commit
	table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		time.Sleep(commitLatency)
		revisions, err := commit(ctx, writes)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			rows += len(writes)
		}
		return revisions, err
	}
	return table, &rows
}

// withRegister calls test with a register of incarnation 1 of the named entry, which
// runs until test returns.
func withRegister(t *testing.T, name string, table platform.Table, test func(*key.Register), options ...key.Option) {
	t.Helper()
	register := key.New(name, 1, table, append([]key.Option{key.WithMaxDeadline(maxDeadline)}, options...)...)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { register.Run(ctx) })
	defer group.Wait()
	defer cancel()
	test(register)
}

// newRequest returns a request with the given idempotency key.
func newRequest(name string) key.Request {
	return key.Request{
		Service: "offers",
		Key:     name,
		Digest:  digest,
	}
}

// doneResult returns the result of a request that was answered with the given body.
func doneResult(body string) key.Result {
	return key.Result{
		Outcome: outcome.FromPhase(outcome.Answered, "", ""),
		Status:  200,
		Response: &key.Response{
			Body: []byte(body),
		},
	}
}

// TestTicketExpiry claims a used and an unused ticket after their lifetime, while
// the used one is remembered and once it no longer is. A used ticket must never be
// reported as not run.
func TestTicketExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withRegister(t, "entry-1", platform.Table{}, func(register *key.Register) {
			used, unused := register.IssueTicket(), register.IssueTicket()
			claim, _ := register.Claim(t.Context(), newRequest(used))
			claim.Finish(doneResult("answer"))
			tryClaim := func(ticket string) string {
				claim, result := register.Claim(t.Context(), newRequest(ticket))
				if claim != nil {
					return "runs"
				}
				return fmt.Sprintf("%s %s", result.Outcome.Kind, result.Outcome.Reason)
			}
			assert.Equal(t, tryClaim(used), "done ")
			time.Sleep(key.TicketLifetime + maxDeadline/2)
			assert.Equal(t, tryClaim(used), "done ")
			assert.Equal(t, tryClaim(unused), "not-run key-expired")
			time.Sleep(maxDeadline)
			assert.Equal(t, tryClaim(used), "unknown key-expired")
			assert.Equal(t, tryClaim(unused), "unknown key-expired")
			keys, bytes := register.Usage()
			assert.Equal(t, keys+bytes, 0)
		})
	})
}

// TestKeyAndResponseLimits exceeds the limits of remembered keys and responses: the
// oldest responses must be dropped, and new keys be refused as not run.
func TestKeyAndResponseLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withRegister(t, "entry-1", platform.Table{}, func(register *key.Register) {
			var tickets []string
			for range 10 {
				ticket := register.IssueTicket()
				tickets = append(tickets, ticket)
				claim, _ := register.Claim(t.Context(), newRequest(ticket))
				claim.Finish(doneResult(strings.Repeat("x", 100)))
			}
			_, bytes := register.Usage()
			assert.Equal(t, bytes, 300)
			for i, ticket := range tickets {
				_, result := register.Claim(t.Context(), newRequest(ticket))
				assert.Equal(t, result.Outcome.Kind, outcome.Done)
				assert.Equal(t, result.Response != nil, i >= 7)
			}
			claim, result := register.Claim(t.Context(), newRequest(register.IssueTicket()))
			assert.Assert(t, claim == nil)
			assert.Equal(t, result.Outcome.Kind, outcome.NotRun)
			assert.Equal(t, result.Outcome.Reason, outcome.ReasonKeysFull)
		}, key.WithMaxKeys(10), key.WithMaxResponseBytes(300))
	})
}

// TestConflictFailsNoOtherClaim claims 40 keys concurrently, ten of which another
// entry has claimed before. The conflicts must not fail the other claims of the same
// transaction.
func TestConflictFailsNoOtherClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		table, _ := slowTable(&store, 10*time.Millisecond)
		withRegister(t, "entry-1", table, func(first *key.Register) {
			for i := range 10 {
				claim, _ := first.Claim(t.Context(), newRequest(fmt.Sprintf("key-%d", 4*i)))
				claim.Finish(doneResult(""))
			}
		})
		var reads atomic.Int64
		read := table.Read
		table.Read = func(ctx context.Context, row string) (platform.Row, error) {
			reads.Add(1)
			return read(ctx, row)
		}
		withRegister(t, "entry-2", table, func(second *key.Register) {
			var group sync.WaitGroup
			claimed := make([]bool, 40)
			for i := range claimed {
				group.Go(func() {
					claim, result := second.Claim(t.Context(), newRequest(fmt.Sprintf("key-%d", i)))
					claimed[i] = claim != nil
					if claim == nil {
						assert.Check(t, result.Outcome.Kind == outcome.Done)
						return
					}
					claim.Finish(doneResult(""))
				})
			}
			group.Wait()
			for i, got := range claimed {
				assert.Equal(t, got, i%4 != 0, "key-%d", i)
			}
			assert.Equal(t, reads.Load(), int64(10), "only the rows of taken keys need to be read")
		})
	})
}

// TestAtMostOneRunWhenCommitResponseIsLost lets each of the first four commits in turn
// return an error, once after it took effect and once without effect. Two entries get
// the request twice each: it must run exactly once, and must not be reported as not run
// after that.
func TestAtMostOneRunWhenCommitResponseIsLost(t *testing.T) {
	errLost := errors.New("commit response lost")
	for write := range 4 {
		for _, committed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				var store memory.Store
				table := store.Platform().Table
				commit := table.Commit
				writes := 0
				table.Commit = func(ctx context.Context, batch []platform.Write) ([]platform.Revision, error) {
					writes++
					if writes-1 != write {
						return commit(ctx, batch)
					}
					if committed {
						_, _ = commit(ctx, batch)
					}
					return nil, errLost
				}
				runs := 0
				for _, name := range []string{"entry-1", "entry-2"} {
					withRegister(t, name, table, func(register *key.Register) {
						for range 2 {
							claim, result := register.Claim(t.Context(), newRequest("key"))
							if claim != nil {
								runs++
								claim.Finish(doneResult(""))
								time.Sleep(time.Second)
								continue
							}
							assert.Check(t, result.Outcome.Kind != outcome.NotRun || runs == 0, "write %d: %v", write, result.Outcome)
						}
					})
				}
				assert.Equal(t, runs, 1, "write %d, effect %t", write, committed)
			})
		}
	}
}

// TestReleasedClaimIsTakenOver claims a key whose row still holds a claim that
// another entry has released. Its claimant lost the response of the commit and could
// not read the row, so that it released the claim but left the row.
func TestReleasedClaimIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		table := store.Platform().Table
		broken := table
		broken.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
			_, _ = table.Commit(ctx, writes)
			return nil, errors.New("commit response lost")
		}
		broken.Read = func(context.Context, string) (platform.Row, error) {
			return platform.Row{}, errors.New("store down")
		}
		withRegister(t, "entry-1", broken, func(first *key.Register) {
			claim, result := first.Claim(t.Context(), newRequest("key"))
			assert.Assert(t, claim == nil)
			assert.Equal(t, result.Outcome.Reason, outcome.ReasonStoreUnreachable)
			query := func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error) {
				assert.Equal(t, entry, request.GetEntry())
				return first.HandleKeyRequest(ctx, request), nil
			}
			withRegister(t, "entry-2", table, func(second *key.Register) {
				claim, _ := second.Claim(t.Context(), newRequest("key"))
				assert.Assert(t, claim != nil)
				claim.Finish(doneResult(""))
			}, key.WithQueryFunc(query))
			withRegister(t, "entry-3", table, func(third *key.Register) {
				claim, result := third.Claim(t.Context(), newRequest("key"))
				assert.Assert(t, claim == nil)
				assert.Equal(t, result.Outcome.Kind, outcome.Done)
			}, key.WithQueryFunc(query))
		})
	})
}

// TestExpiredRowsAreRemoved checks that a claim's row is removed after its
// lifetime, and not before.
func TestExpiredRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		rows := func() int {
			all, _ := store.Scan(t.Context(), "key/")
			return len(all)
		}
		withRegister(t, "entry-1", store.Platform().Table, func(register *key.Register) {
			claim, _ := register.Claim(t.Context(), newRequest("key"))
			claim.Finish(doneResult(""))
			time.Sleep(key.RowLifetime - time.Minute)
			assert.Equal(t, rows(), 1)
			time.Sleep(key.RowLifetime)
			assert.Equal(t, rows(), 0)
		})
	})
}
