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
	longest = time.Minute
	digests = "0123456789abcdef"
)

var digest = key.Digest([]byte(digests))

// slow returns a table that a round trip lies before, and the count of rows
// written.
func slow(store *memory.Store, roundTrip time.Duration) (platform.Table, *int) {
	var mu sync.Mutex
	rows := 0
	table := store.Platform().Table
	commit := table.Commit
	table.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
		time.Sleep(roundTrip)
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

// withRegister runs a test on a running register.
func withRegister(t *testing.T, name string, table platform.Table, test func(*key.Register), options ...key.Option) {
	t.Helper()
	register := key.New(name, 1, table, append([]key.Option{key.WithMaxDeadline(longest)}, options...)...)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { register.Run(ctx) })
	defer group.Wait()
	defer cancel()
	test(register)
}

func use(name string) key.Request {
	return key.Request{
		Service: "offers",
		Key:     name,
		Digest:  digest,
	}
}

func done(body string) key.Result {
	return key.Result{
		Outcome: outcome.FromPhase(outcome.Answered, "", ""),
		Status:  200,
		Response: &key.Response{
			Body: []byte(body),
		},
	}
}

// TestTicketExpiry uses tickets before and after their lifetime, and after that
// of their records.
func TestTicketExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withRegister(t, "entry-1", platform.Table{}, func(register *key.Register) {
			used, unused := register.IssueTicket(), register.IssueTicket()
			claim, _ := register.Claim(t.Context(), use(used))
			claim.Finish(done("answer"))
			told := func(ticket string) string {
				claim, result := register.Claim(t.Context(), use(ticket))
				if claim != nil {
					return "runs"
				}
				return fmt.Sprintf("%s %s", result.Outcome.Kind, result.Outcome.Reason)
			}
			assert.Equal(t, told(used), "done ")
			time.Sleep(key.TicketLifetime + longest/2)
			assert.Equal(t, told(used), "done ")
			assert.Equal(t, told(unused), "not-run key-expired")
			time.Sleep(longest)
			assert.Equal(t, told(used), "unknown key-expired")
			assert.Equal(t, told(unused), "unknown key-expired")
			keys, bytes := register.Size()
			assert.Equal(t, keys+bytes, 0)
		})
	})
}

// TestBounds fills the memory of keys and of answers.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withRegister(t, "entry-1", platform.Table{}, func(register *key.Register) {
			var tickets []string
			for range 10 {
				ticket := register.IssueTicket()
				tickets = append(tickets, ticket)
				claim, _ := register.Claim(t.Context(), use(ticket))
				claim.Finish(done(strings.Repeat("x", 100)))
			}
			_, bytes := register.Size()
			assert.Equal(t, bytes, 300)
			for i, ticket := range tickets {
				_, result := register.Claim(t.Context(), use(ticket))
				assert.Equal(t, result.Outcome.Kind, outcome.Done)
				assert.Equal(t, result.Response != nil, i >= 7)
			}
			claim, result := register.Claim(t.Context(), use(register.IssueTicket()))
			assert.Assert(t, claim == nil)
			assert.Equal(t, result.Outcome.Kind, outcome.NotRun)
			assert.Equal(t, result.Outcome.Reason, outcome.ReasonKeysFull)
		}, key.WithMaxKeys(10), key.WithMaxResponseBytes(300))
	})
}

// TestConflictFailsNoOtherClaim claims many keys at once of which some are taken.
func TestConflictFailsNoOtherClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		table, _ := slow(&store, 10*time.Millisecond)
		withRegister(t, "entry-1", table, func(first *key.Register) {
			for i := range 10 {
				claim, _ := first.Claim(t.Context(), use(fmt.Sprintf("key-%d", 4*i)))
				claim.Finish(done(""))
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
					claim, result := second.Claim(t.Context(), use(fmt.Sprintf("key-%d", i)))
					claimed[i] = claim != nil
					if claim == nil {
						assert.Check(t, result.Outcome.Kind == outcome.Done)
						return
					}
					claim.Finish(done(""))
				})
			}
			group.Wait()
			for i, is := range claimed {
				assert.Equal(t, is, i%4 != 0, "key-%d", i)
			}
			assert.Equal(t, reads.Load(), int64(10), "only the taken rows need to be read")
		})
	})
}

// TestAtMostOneRunWhenCommitResponseIsLost loses the answer of each write in turn, whether the write
// took effect or not.
func TestAtMostOneRunWhenCommitResponseIsLost(t *testing.T) {
	lost := errors.New("answer lost")
	for write := range 4 {
		for _, effect := range []bool{false, true} {
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
					if effect {
						_, _ = commit(ctx, batch)
					}
					return nil, lost
				}
				runs := 0
				for _, name := range []string{"entry-1", "entry-2"} {
					withRegister(t, name, table, func(register *key.Register) {
						for range 2 {
							claim, result := register.Claim(t.Context(), use("key"))
							if claim != nil {
								runs++
								claim.Finish(done(""))
								time.Sleep(time.Second)
								continue
							}
							assert.Check(t, result.Outcome.Kind != outcome.NotRun || runs == 0, "write %d: %v", write, result.Outcome)
						}
					})
				}
				assert.Equal(t, runs, 1, "write %d, effect %t", write, effect)
			})
		}
	}
}

// TestReleasedClaimIsTakenOver takes a claim over from an entry that gave it up and
// could not say so in the table.
func TestReleasedClaimIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		table := store.Platform().Table
		broken := table
		broken.Commit = func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error) {
			_, _ = table.Commit(ctx, writes)
			return nil, errors.New("answer lost")
		}
		broken.Read = func(context.Context, string) (platform.Row, error) {
			return platform.Row{}, errors.New("store down")
		}
		withRegister(t, "entry-1", broken, func(first *key.Register) {
			claim, result := first.Claim(t.Context(), use("key"))
			assert.Assert(t, claim == nil)
			assert.Equal(t, result.Outcome.Reason, outcome.ReasonStoreUnreachable)
			ask := func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error) {
				assert.Equal(t, entry, request.GetEntry())
				return first.HandleKeyRequest(ctx, request), nil
			}
			withRegister(t, "entry-2", table, func(second *key.Register) {
				claim, _ := second.Claim(t.Context(), use("key"))
				assert.Assert(t, claim != nil)
				claim.Finish(done(""))
			}, key.WithQueryFunc(ask))
			withRegister(t, "entry-3", table, func(third *key.Register) {
				claim, result := third.Claim(t.Context(), use("key"))
				assert.Assert(t, claim == nil)
				assert.Equal(t, result.Outcome.Kind, outcome.Done)
			}, key.WithQueryFunc(ask))
		})
	})
}

// TestExpiredRowsAreRemoved waits until a claim's row is past its lifetime.
func TestExpiredRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store memory.Store
		rows := func() int {
			all, _ := store.Scan(t.Context(), "key/")
			return len(all)
		}
		withRegister(t, "entry-1", store.Platform().Table, func(register *key.Register) {
			claim, _ := register.Claim(t.Context(), use("key"))
			claim.Finish(done(""))
			time.Sleep(key.RowLifetime - time.Minute)
			assert.Equal(t, rows(), 1)
			time.Sleep(key.RowLifetime)
			assert.Equal(t, rows(), 0)
		})
	})
}
