package key

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/platform"
)

// errBusy says that a write was not accepted, so that it surely never happens.
var errBusy = errors.New("too many writes wait for the table")

// journal writes rows to the platform's table, many in one transaction (group
// commit): what waits while earlier transactions are on their way goes
// together in the next one.
type journal struct {
	commit   func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error)
	limiter  *rate.Limiter
	maxBatch int
	// urgent holds writes that somebody waits for, lazy the others.
	urgent chan *pendingWrite
	lazy   chan *pendingWrite
	// carried are writes whose row was in the batch already.
	carried []*pendingWrite
}

type pendingWrite struct {
	write platform.Write
	done  chan writeResult
}

type writeResult struct {
	revision platform.Revision
	err      error
}

const (
	// storeCommitRate is what all entries together commit a second at most, of
	// the several hundred writes that the table takes.
	storeCommitRate = 300
	defaultEntries  = 7
	defaultMaxBatch = 64
	maxCommitBurst  = 8
	// maxCommits is how many transactions of one entry are on their way at once.
	maxCommits = 4
	maxUrgent  = 1024
	maxLazy    = 4096
	// commitTimeout bounds one transaction.
	commitTimeout = 3 * time.Second
	// lazyInterval is how long a write that nobody waits for may wait for others.
	lazyInterval = 500 * time.Millisecond
)

func newJournal(commit func(context.Context, []platform.Write) ([]platform.Revision, error)) *journal {
	return &journal{
		commit:   commit,
		limiter:  rate.NewLimiter(commitShare(defaultEntries)),
		maxBatch: defaultMaxBatch,
		urgent:   make(chan *pendingWrite, maxUrgent),
		lazy:     make(chan *pendingWrite, maxLazy),
	}
}

// commitShare returns one entry's share of the table's rate, and how many
// commits it may make at once.
func commitShare(entries int) (commits rate.Limit, burst int) {
	share := float64(storeCommitRate) / float64(max(1, entries))
	return rate.Limit(share), int(min(maxCommitBurst, max(1, share)))
}

func (j *journal) share(entries int) {
	commits, burst := commitShare(entries)
	j.limiter.SetLimit(commits)
	j.limiter.SetBurst(burst)
}

// write returns the row's new revision. A *platform.ConflictError and errBusy
// say that nothing was written; any other error leaves it open.
func (j *journal) write(ctx context.Context, write platform.Write) (platform.Revision, error) {
	pending := &pendingWrite{
		write: write,
		done:  make(chan writeResult, 1),
	}
	select {
	case j.urgent <- pending:
	default:
		return "", errBusy
	}
	select {
	case result := <-pending.done:
		return result.revision, result.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// writeLater writes as a best effort. It is dropped when too many wait.
func (j *journal) writeLater(write platform.Write) {
	select {
	case j.lazy <- &pendingWrite{
		write: write,
		done:  make(chan writeResult, 1),
	}:
	default:
	}
}

// run commits batches until ctx is done, then once more what waits.
func (j *journal) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	tokens := make(chan struct{}, maxCommits)
	for {
		first := j.next(ctx)
		if first == nil || j.limiter.Wait(ctx) != nil {
			j.settle(j.fill(first))
			return
		}
		tokens <- struct{}{}
		batch := j.fill(first)
		group.Go(func() {
			j.settle(batch)
			<-tokens
		})
	}
}

// next waits for a reason to commit: a write that somebody waits for, or the
// end of the lazy interval. It returns nil when ctx is done.
func (j *journal) next(ctx context.Context) *pendingWrite {
	if len(j.carried) > 0 {
		first := j.carried[0]
		j.carried = j.carried[1:]
		return first
	}
	select {
	case first := <-j.urgent:
		return first
	case <-ctx.Done():
		return nil
	case first := <-j.lazy:
		return j.linger(ctx, first)
	}
}

// linger keeps a lazy write back for the lazy interval, unless an urgent one
// comes first and takes it along.
func (j *journal) linger(ctx context.Context, first *pendingWrite) *pendingWrite {
	timer := time.NewTimer(lazyInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return first
	case <-ctx.Done():
		return first
	case urgent := <-j.urgent:
		j.carried = append(j.carried, first)
		return urgent
	}
}

// fill adds what waits to a batch, urgent writes first. Each row stands in it
// once.
func (j *journal) fill(first *pendingWrite) []*pendingWrite {
	var batch []*pendingWrite
	rows := make(map[string]bool)
	add := func(pending *pendingWrite) {
		if rows[pending.write.Row] {
			j.carried = append(j.carried, pending)
			return
		}
		rows[pending.write.Row] = true
		batch = append(batch, pending)
	}
	if first != nil {
		add(first)
	}
	carried := j.carried
	j.carried = nil
	for _, pending := range carried {
		add(pending)
	}
	for len(batch) < j.maxBatch {
		select {
		case pending := <-j.urgent:
			add(pending)
			continue
		default:
		}
		select {
		case pending := <-j.lazy:
			add(pending)
		default:
			return batch
		}
	}
	return batch
}

// settle commits a batch. The write that conflicts is taken out, and the two
// halves of the others are tried on their own, so that one conflict fails no
// other write and many cost few rounds.
func (j *journal) settle(batch []*pendingWrite) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	writes := make([]platform.Write, 0, len(batch))
	for _, pending := range batch {
		writes = append(writes, pending.write)
	}
	revisions, err := j.commit(ctx, writes)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		j.split(batch, conflict)
		return
	}
	for i, pending := range batch {
		result := writeResult{
			err: err,
		}
		if err == nil {
			result.revision = revisions[i]
		}
		pending.done <- result
	}
}

func (j *journal) split(batch []*pendingWrite, conflict *platform.ConflictError) {
	var others []*pendingWrite
	for _, pending := range batch {
		if pending.write.Row == conflict.Row {
			pending.done <- writeResult{
				err: conflict,
			}
			continue
		}
		others = append(others, pending)
	}
	if len(others) == len(batch) {
		panic("key: the table reports a conflict on a row that was not written: " + conflict.Row)
	}
	var group sync.WaitGroup
	defer group.Wait()
	half := (len(others) + 1) / 2
	group.Go(func() { j.settle(others[:half]) })
	group.Go(func() { j.settle(others[half:]) })
}
