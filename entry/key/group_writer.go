package key

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/teaselstack/teaselstack/platform"
)

// errQueueFull reports that a write was not queued and so never takes effect.
var errQueueFull = errors.New("queue table write: queue is full")

// groupWriter writes rows to the platform's table with group commit: writes that
// arrive while run waits for the rate limiter, or for one of maxCommitsInFlight
// transactions to end, share the next transaction.
type groupWriter struct {
	// commit writes a batch in one transaction.
	commit func(ctx context.Context, writes []platform.Write) ([]platform.Revision, error)
	// limiter limits the commits per second to this entry's share of
	// totalCommitRate. The last batch of run and retries after a conflict are not
	// limited.
	limiter *rate.Limiter
	// maxBatch limits the writes of a batch. Only carried-over writes can exceed it.
	maxBatch int
	// urgent queues the writes that a request waits for, deferred all others.
	urgent   chan *pendingWrite
	deferred chan *pendingWrite
	// carriedOver holds writes that were taken from a queue but not yet added to a
	// batch. They are considered for the next batch before queued ones. Only the
	// goroutine of run uses the slice.
	carriedOver []*pendingWrite
}

// pendingWrite is a write that waits for its commit.
type pendingWrite struct {
	write platform.Write
	// done receives the result. Its capacity is 1, so that sending the result doesn't
	// block if nobody waits for it, as for a deferred write.
	done chan writeResult
}

// writeResult is the result of one write of a transaction.
type writeResult struct {
	revision platform.Revision
	err      error
}

const (
	// totalCommitRate is the limit of commits per second of all entries together.
	// The table takes several hundred transactions per second.
	totalCommitRate = 300
	// defaultEntryCount is the number of entries that is assumed until
	// setEntryCount is called.
	defaultEntryCount = 7
	// defaultMaxBatch is the maxBatch of a groupWriter unless WithMaxBatch sets it.
	defaultMaxBatch = 64
	// maxCommitBurst limits how many commits the rate limiter of one entry allows at
	// once after a pause.
	maxCommitBurst = 8
	// maxCommitsInFlight limits the batches that one entry commits concurrently. A batch
	// that a conflict divides counts once, and the last batch of run does not count.
	maxCommitsInFlight = 4
	// maxUrgentWrites and maxDeferredWrites are the capacities of the queues, in
	// writes.
	maxUrgentWrites   = 1024
	maxDeferredWrites = 4096
	// commitTimeout limits the duration of one transaction.
	commitTimeout = 3 * time.Second
	// maxDeferral limits how long a deferred write waits for an urgent one to share
	// its transaction.
	maxDeferral = 500 * time.Millisecond
)

// newGroupWriter returns a groupWriter that writes batches with commit. Nothing is
// written until run is called.
func newGroupWriter(commit func(context.Context, []platform.Write) ([]platform.Revision, error)) *groupWriter {
	return &groupWriter{
		commit:   commit,
		limiter:  rate.NewLimiter(commitShare(defaultEntryCount)),
		maxBatch: defaultMaxBatch,
		urgent:   make(chan *pendingWrite, maxUrgentWrites),
		deferred: make(chan *pendingWrite, maxDeferredWrites),
	}
}

// commitShare returns one entry's equal share of totalCommitRate, and the burst
// that the rate limiter allows with it.
func commitShare(entries int) (limit rate.Limit, burst int) {
	share := float64(totalCommitRate) / float64(max(1, entries))
	return rate.Limit(share), int(min(maxCommitBurst, max(1, share)))
}

// setEntryCount sets the number of entries among which totalCommitRate is divided.
func (w *groupWriter) setEntryCount(entries int) {
	limit, burst := commitShare(entries)
	w.limiter.SetLimit(limit)
	w.limiter.SetBurst(burst)
}

// write queues a write, waits for its commit and returns the row's new
// revision. After a *platform.ConflictError or errQueueFull the row was not
// written; after any other error, the write may have taken effect or may still do
// so.
func (w *groupWriter) write(ctx context.Context, next platform.Write) (platform.Revision, error) {
	pending := &pendingWrite{
		write: next,
		done:  make(chan writeResult, 1),
	}
	select {
	case w.urgent <- pending:
	default:
		return "", errQueueFull
	}
	select {
	case result := <-pending.done:
		return result.revision, result.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// writeLater queues a write without waiting for its commit. The write is dropped
// if the queue is full.
func (w *groupWriter) writeLater(write platform.Write) {
	select {
	case w.deferred <- &pendingWrite{
		write: write,
		done:  make(chan writeResult, 1),
	}:
	default:
	}
}

// run commits batches until ctx is done, and then one last batch. Queued writes that
// don't fit into the last batch are never committed.
func (w *groupWriter) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	inFlight := make(chan struct{}, maxCommitsInFlight)
	for {
		first := w.awaitWrite(ctx)
		if first == nil || w.limiter.Wait(ctx) != nil {
			w.commitBatch(w.collectBatch(first))
			return
		}
		inFlight <- struct{}{}
		batch := w.collectBatch(first)
		group.Go(func() {
			w.commitBatch(batch)
			<-inFlight
		})
	}
}

// awaitWrite waits for the first write of a batch: a write carried over, an
// urgent one, or a deferred one after maxDeferral. Once ctx is done it doesn't wait,
// and may return nil.
func (w *groupWriter) awaitWrite(ctx context.Context) *pendingWrite {
	if len(w.carriedOver) > 0 {
		first := w.carriedOver[0]
		w.carriedOver = w.carriedOver[1:]
		return first
	}
	select {
	case first := <-w.urgent:
		return first
	case <-ctx.Done():
		return nil
	case first := <-w.deferred:
		return w.awaitUrgent(ctx, first)
	}
}

// awaitUrgent delays the deferred write first by maxDeferral, or until ctx is done,
// and returns it. If an urgent write arrives before that, it returns the urgent write
// instead and carries first over, so that both go into the same batch.
func (w *groupWriter) awaitUrgent(ctx context.Context, first *pendingWrite) *pendingWrite {
	timer := time.NewTimer(maxDeferral)
	defer timer.Stop()
	select {
	case <-timer.C:
		return first
	case <-ctx.Done():
		return first
	case urgent := <-w.urgent:
		w.carriedOver = append(w.carriedOver, first)
		return urgent
	}
}

// collectBatch returns the next batch: first if it is not nil, then the writes
// carried over, then queued writes up to maxBatch, urgent ones before deferred ones. A
// batch holds at most one write to a row; further writes to the row are carried over.
func (w *groupWriter) collectBatch(first *pendingWrite) []*pendingWrite {
	var batch []*pendingWrite
	rows := make(map[string]bool)
	add := func(pending *pendingWrite) {
		if rows[pending.write.Row] {
			w.carriedOver = append(w.carriedOver, pending)
			return
		}
		rows[pending.write.Row] = true
		batch = append(batch, pending)
	}
	if first != nil {
		add(first)
	}
	carried := w.carriedOver
	w.carriedOver = nil
	for _, pending := range carried {
		add(pending)
	}
	for len(batch) < w.maxBatch {
		select {
		case pending := <-w.urgent:
			add(pending)
			continue
		default:
		}
		select {
		case pending := <-w.deferred:
			add(pending)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch commits a batch and sends the result of each write to its done
// channel. After a conflict, it commits the other writes with retryWithoutConflict.
func (w *groupWriter) commitBatch(batch []*pendingWrite) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	writes := make([]platform.Write, 0, len(batch))
	for _, pending := range batch {
		writes = append(writes, pending.write)
	}
	revisions, err := w.commit(ctx, writes)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		w.retryWithoutConflict(batch, conflict)
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

// retryWithoutConflict fails the conflicting write and commits the two halves of the
// other writes concurrently, each in its own transaction. Thus a conflict fails no
// other write, and the number of successive commits is at most logarithmic in the size
// of the batch.
func (w *groupWriter) retryWithoutConflict(batch []*pendingWrite, conflict *platform.ConflictError) {
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
	group.Go(func() { w.commitBatch(others[:half]) })
	group.Go(func() { w.commitBatch(others[half:]) })
}
