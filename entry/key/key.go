// Package key makes a non-idempotent request run at most once. There are two
// kinds of idempotency keys: tickets, which only the incarnation of the entry
// that issued them runs, from memory alone; and callers' own keys, which an
// entry claims in the platform's table before it dispatches the request.
//
// Nobody ever takes a claim over from a claimant that may have used it, however
// long the claimant is silent. So a claimant that was paused does no harm when
// it wakes, and a dead claimant leaves its unfinished keys unknown.
package key

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"strings"
	"sync"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/platform"
)

// Lifetimes and bounds of a register.
const (
	// TicketLifetime is how long after its issue a ticket may be used first.
	TicketLifetime = 10 * time.Minute
	// RowLifetime is how long the claim of a caller's own key stays in the
	// table. A key that is sent again later counts as a new one.
	RowLifetime = 24 * time.Hour

	defaultMaxDeadline  = 5 * time.Minute
	defaultMaxRecords   = 50_000
	defaultAnswerMemory = 8 << 20
)

// Digest identifies what a request asks for, its key aside.
type Digest [16]byte

// NewDigest returns the digest of the parts of a request, which must not
// depend on each other's borders.
func NewDigest(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(sum[:len(Digest{})])
}

// Register remembers the keys that this incarnation of the entry has claimed.
type Register struct {
	entry       string
	incarnation uint64
	table       platform.Table
	ask         QueryFunc
	journal     *journal
	// retention is how long the record of an ended request is kept.
	retention  time.Duration
	maxRecords int
	secret     []byte
	started    time.Time

	mu      sync.Mutex
	number  uint64
	keys    map[name]*Claim
	ended   queue[*Claim]
	answers answerCache
	// released holds the numbers of claims that were given up unused.
	released    map[uint64]struct{}
	releasedAge queue[uint64]
}

// name identifies a key of a service.
type name [16]byte

func newName(service, key string) name {
	return name(NewDigest([]byte(service + "\x00" + key)))
}

// QueryFunc asks an entry what became of a claim. An error means that it could not
// be asked.
type QueryFunc func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error)

// Option sets up a Register.
type Option func(*Register)

// WithQueryFunc lets the register ask other claimants.
func WithQueryFunc(ask QueryFunc) Option {
	return func(r *Register) { r.ask = ask }
}

// WithMaxDeadline names the longest deadline of a request.
func WithMaxDeadline(longest time.Duration) Option {
	return func(r *Register) { r.retention = TicketLifetime + longest }
}

// WithMaxKeys bounds how many keys are remembered. While that many are, new
// keys are refused.
func WithMaxKeys(most int) Option {
	return func(r *Register) { r.maxRecords = most }
}

// WithMaxResponseBytes bounds the bytes of remembered answers. The oldest answers
// are dropped first; that their keys ran is not forgotten with them.
func WithMaxResponseBytes(most int) Option {
	return func(r *Register) { r.answers.most = most }
}

// WithMaxBatch bounds the writes of one transaction; 1 turns group commit off.
func WithMaxBatch(most int) Option {
	return func(r *Register) { r.journal.maxBatch = most }
}

// New returns the register of one incarnation of an entry. Run must be called
// for callers' own keys to be claimed.
func New(entry string, incarnation uint64, table platform.Table, options ...Option) *Register {
	register := &Register{
		entry:       entry,
		incarnation: incarnation,
		table:       table,
		journal:     newJournal(table.Commit),
		retention:   TicketLifetime + defaultMaxDeadline,
		maxRecords:  defaultMaxRecords,
		secret:      []byte(rand.Text()),
		started:     time.Now(),
		keys:        make(map[name]*Claim),
		released:    make(map[uint64]struct{}),
		answers: answerCache{
			most: defaultAnswerMemory,
		},
	}
	for _, option := range options {
		option(register)
	}
	return register
}

// Incarnation returns the number that marks this process's claims.
func (r *Register) Incarnation() uint64 {
	return r.incarnation
}

// SetEntryCount bounds what the register commits to an equal share of the table's rate
// among a number of entries.
func (r *Register) SetEntryCount(entries int) {
	r.journal.share(entries)
}

// Run writes claims to the table and removes old ones until ctx is done.
func (r *Register) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.sweep(ctx) })
	r.journal.run(ctx)
	group.Wait()
}

// Claim is the right to run a request once. Finish must be called.
type Claim struct {
	register *Register
	name     name
	number   uint64
	digest   Digest
	// row is "" for a ticket.
	row      string
	revision platform.Revision
	claimed  time.Time
	done     chan struct{}
	result   Result
}

// Result is how a claimed request ended.
type Result struct {
	Outcome outcome.Outcome
	// Status and Answer are the backend server's. Answer is nil when it was too
	// long to remember, or is remembered no more.
	Status   int
	Response *Response
}

// Response is a remembered answer.
type Response struct {
	Header http.Header
	Body   []byte
}

// Request is a request that is about to run under a key.
type Request struct {
	Service string
	Key     string
	Digest  Digest
	// FirstSend is the caller's word that it has not sent the key before.
	FirstSend bool
}

// InitialPhase is what is known of a key before its claim is looked at: unless the
// caller says that it sends it for the first time, it may have run already.
func (u Request) InitialPhase() outcome.DispatchPhase {
	if u.FirstSend {
		return outcome.NotDispatched
	}
	return outcome.MaybeDispatchedElsewhere
}

// Claim claims a key. It returns either a claim, or the result that the caller
// is to be told instead of running the request.
func (r *Register) Claim(ctx context.Context, use Request) (*Claim, *Result) {
	ticket, is := ParseTicket(use.Key)
	switch {
	case is && !r.IsIssuer(ticket):
		return nil, refuse(use.InitialPhase(), outcome.ReasonIssuerGone, "the ticket was issued by another process of entry "+ticket.Entry)
	case is && !r.genuine(ticket), !is && strings.HasPrefix(use.Key, TicketPrefix):
		return nil, refuse(outcome.NotDispatched, outcome.ReasonKeyForged, "no look-up has given out this ticket")
	}
	claim, known, refusal := r.remember(use, ticket)
	switch {
	case refusal != nil:
		return nil, refusal
	case known != nil:
		return nil, known.wait(ctx, use.Digest)
	case is:
		return claim, nil
	}
	claim.row = rowName(use.Service, use.Key)
	if result := r.claimInTable(ctx, claim, use); result != nil {
		claim.abandon(*result)
		return nil, result
	}
	return claim, nil
}

func refuse(phase outcome.DispatchPhase, reason outcome.Reason, detail string) *Result {
	return &Result{
		Outcome: outcome.FromPhase(phase, reason, detail),
	}
}

// remember enters a key in memory and returns the new claim, or the one that is
// there already, or why there can be none. Ticket is nil for a caller's own key.
func (r *Register) remember(use Request, ticket *Ticket) (fresh, known *Claim, refusal *Result) {
	id := newName(use.Service, use.Key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if known := r.keys[id]; known != nil {
		return nil, known, nil
	}
	phase := use.InitialPhase()
	if ticket != nil {
		if refusal := r.tooOld(ticket); refusal != nil {
			return nil, nil, refusal
		}
		phase = outcome.NotDispatched
	}
	if len(r.keys) >= r.maxRecords {
		return nil, nil, refuse(phase, outcome.ReasonKeysFull, "this entry remembers as many keys as it may")
	}
	r.number++
	fresh = &Claim{
		register: r,
		name:     id,
		number:   r.number,
		digest:   use.Digest,
		claimed:  time.Now(),
		done:     make(chan struct{}),
	}
	r.keys[id] = fresh
	return fresh, nil, nil
}

// wait returns the result of a key's first request to a repeat.
func (c *Claim) wait(ctx context.Context, digest Digest) *Result {
	if c.digest != digest {
		return refuse(outcome.MaybeDispatchedElsewhere, outcome.ReasonKeyReused, "the key was used for another request")
	}
	select {
	case <-c.ended():
		result := c.outcome()
		return &result
	case <-ctx.Done():
		return refuse(outcome.MaybeDispatchedElsewhere, outcome.ReasonRunning, "the first request with this key still runs")
	}
}

// closed stands in for the channels of ended claims, which would be a large
// part of their memory.
var closed = make(chan struct{})

func init() {
	close(closed)
}

// ended returns a channel that is closed once the request has ended.
func (c *Claim) ended() <-chan struct{} {
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	return c.done
}

// end sets the result and wakes who waits for it. The caller holds the lock.
func (c *Claim) end(result Result) {
	c.result = result
	close(c.done)
	c.done = closed
}

// outcome returns the result of an ended claim.
func (c *Claim) outcome() Result {
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	return c.result
}

// Finish records how the request ended. A request that did not run may be sent
// again under the same key.
func (c *Claim) Finish(result Result) {
	r := c.register
	r.mu.Lock()
	c.end(result)
	if result.Outcome.Kind == outcome.NotRun {
		delete(r.keys, c.name)
		r.release(c.number)
	} else {
		r.answers.add(c)
		r.ended.push(c, time.Now().Add(r.retention))
	}
	r.mu.Unlock()
	if c.revision != "" {
		r.recordEnd(c, result)
		c.row, c.revision = "", ""
	}
}

// abandon ends a claim that got no row. What the caller is told is not kept:
// a repeat asks again.
func (c *Claim) abandon(result Result) {
	r := c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	c.end(result)
	delete(r.keys, c.name)
	r.release(c.number)
}

// maxReleased bounds the numbers of released claims that are kept. A claim
// whose number was dropped counts as perhaps used.
const maxReleased = 1 << 16

// release notes that a claim was given up unused. The caller holds the lock.
func (r *Register) release(number uint64) {
	if len(r.released) >= maxReleased {
		delete(r.released, r.releasedAge.pop())
	}
	r.released[number] = struct{}{}
	r.releasedAge.push(number, time.Now().Add(RowLifetime))
}

// expire drops what is past its time. The caller holds the lock.
func (r *Register) expire() {
	now := time.Now()
	for r.ended.due(now) {
		claim := r.ended.pop()
		r.answers.remove(claim)
		delete(r.keys, claim.name)
	}
	for r.releasedAge.due(now) {
		delete(r.released, r.releasedAge.pop())
	}
}

// Size returns how many keys and how many bytes of answers are remembered.
func (r *Register) Size() (keys, answerBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.keys), r.answers.size
}
