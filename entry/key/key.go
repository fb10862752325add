// Package key makes a non-idempotent request run at most once, by means of its
// idempotency key. There are two kinds of keys. A ticket is a key that an entry
// has issued; only the incarnation that issued it runs a request under it, and
// keeps track of it in memory alone. A caller's own key is claimed in the
// platform's table before the request is dispatched.
//
// A claim that may have been used is never taken over, however long its
// claimant is silent. So a paused claimant does no harm when it resumes, and
// the outcome of a request that was unfinished when its claimant died stays
// unknown.
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

// Lifetimes of tickets and claims, and the default bounds of a Register.
const (
	// TicketLifetime is how long after its issue a ticket may be used for the
	// first time.
	TicketLifetime = 10 * time.Minute
	// RowLifetime is how long the claim of a caller's own key stays in the table.
	// A key that is sent again after that counts as a new one.
	RowLifetime = 24 * time.Hour

	defaultMaxDeadline      = 5 * time.Minute
	defaultMaxKeys          = 50_000
	defaultMaxResponseBytes = 8 << 20
)

// Digest identifies the content of a request, without its key. A repeat with
// another digest is refused.
type Digest [16]byte

// NewDigest returns the digest of an encoding of the request. The encoding must
// delimit its parts unambiguously, so that no two different requests have the
// same one.
func NewDigest(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(sum[:len(Digest{})])
}

// Register claims idempotency keys for one incarnation of an entry, and
// remembers the results of their requests. Its methods may be called
// concurrently.
type Register struct {
	entry       string
	incarnation uint64
	// table holds the claims of callers' own keys.
	table platform.Table
	// queryClaimant is set by WithQueryFunc; nil without it.
	queryClaimant QueryFunc
	writer        *groupWriter
	// retention is how long after its end a request is remembered.
	retention time.Duration
	// maxKeys is the most keys that are remembered at a time.
	maxKeys int
	// secret is the key of the ticket signatures, random for each incarnation.
	secret  []byte
	started time.Time

	mu sync.Mutex
	// lastNumber is the number of the last claim or ticket.
	lastNumber uint64
	// keys holds the claims of running requests and of remembered ones.
	keys map[keyID]*Claim
	// endedClaims holds the remembered claims until they expire.
	endedClaims expiryQueue[*Claim]
	// responses limits the total size of the responses of the remembered claims.
	responses responseLimiter
	// released holds the numbers of claims that were released unused.
	released map[uint64]struct{}
	// releasedQueue holds the same numbers in order of expiry.
	releasedQueue expiryQueue[uint64]
}

// keyID is the hash of a service name and an idempotency key.
type keyID [16]byte

func newKeyID(service, idempotencyKey string) keyID {
	return keyID(NewDigest([]byte(service + "\x00" + idempotencyKey)))
}

// QueryFunc asks another entry for the state of a claim. An error means that
// there is no response.
type QueryFunc func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error)

// Option configures a Register.
type Option func(*Register)

// WithQueryFunc lets the register query the entry that holds a claim. Without
// it, only the claim's row is read.
func WithQueryFunc(query QueryFunc) Option {
	return func(r *Register) { r.queryClaimant = query }
}

// WithMaxDeadline sets the longest deadline that a request can have. Ended
// requests are remembered for TicketLifetime and that time.
func WithMaxDeadline(longest time.Duration) Option {
	return func(r *Register) { r.retention = TicketLifetime + longest }
}

// WithMaxKeys limits how many keys are remembered. At the limit, new keys are
// refused until older ones expire.
func WithMaxKeys(limit int) Option {
	return func(r *Register) { r.maxKeys = limit }
}

// WithMaxResponseBytes limits the total size of the remembered responses. The
// oldest responses are dropped first; the outcome and status of their requests
// stay.
func WithMaxResponseBytes(limit int) Option {
	return func(r *Register) { r.responses.maxBytes = limit }
}

// WithMaxBatch limits how many writes are collected for one transaction; 1
// disables group commit.
func WithMaxBatch(limit int) Option {
	return func(r *Register) { r.writer.maxBatch = limit }
}

// New returns the register of one incarnation of an entry. Callers' own keys
// can only be claimed while Run is running.
func New(entry string, incarnation uint64, table platform.Table, options ...Option) *Register {
	register := &Register{
		entry:       entry,
		incarnation: incarnation,
		table:       table,
		writer:      newGroupWriter(table.Commit),
		retention:   TicketLifetime + defaultMaxDeadline,
		maxKeys:     defaultMaxKeys,
		secret:      []byte(rand.Text()),
		started:     time.Now(),
		keys:        make(map[keyID]*Claim),
		released:    make(map[uint64]struct{}),
		responses: responseLimiter{
			maxBytes: defaultMaxResponseBytes,
		},
	}
	for _, option := range options {
		option(register)
	}
	return register
}

// Incarnation returns the incarnation whose claims and tickets the register
// makes.
func (r *Register) Incarnation() uint64 {
	return r.incarnation
}

// SetEntryCount limits the register's commits to an equal share of the table's
// total rate among the given number of entries.
func (r *Register) SetEntryCount(entries int) {
	r.writer.setEntryCount(entries)
}

// Run writes claims to the table and removes expired ones until ctx is done.
func (r *Register) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.sweep(ctx) })
	r.writer.run(ctx)
	group.Wait()
}

// Claim is the right to run a request once. Its holder must call Finish.
type Claim struct {
	register *Register
	id       keyID
	number   uint64
	digest   Digest
	// row is the name of the claim's row in the table, "" for a ticket.
	row string
	// revision is that of the row as written by this claim, "" if there is no row.
	revision  platform.Revision
	claimedAt time.Time
	// done is closed when the request has ended; result is set before.
	done   chan struct{}
	result Result
}

// Result is how the request of a claim ended.
type Result struct {
	Outcome outcome.Outcome
	// Status is the HTTP status of the backend server's response.
	Status int
	// Response is the backend server's response, or nil if it was too long to
	// remember or has been dropped since.
	Response *Response
}

// Response is a remembered response of a backend server.
type Response struct {
	Header http.Header
	Body   []byte
}

// Request identifies a request that is to run under an idempotency key.
type Request struct {
	Service string
	Key     string
	Digest  Digest
	// FirstSend is true if the caller states that it has not sent the key before.
	FirstSend bool
}

// InitialPhase returns the phase of the request as far as it is known before
// its claim is looked up: it may have run already, unless the caller states
// that this is the first send.
func (r Request) InitialPhase() outcome.DispatchPhase {
	if r.FirstSend {
		return outcome.NotDispatched
	}
	return outcome.MaybeDispatchedElsewhere
}

// Claim claims the request's key. It returns either a claim, or the result to
// give to the caller instead of running the request.
func (r *Register) Claim(ctx context.Context, request Request) (*Claim, *Result) {
	ticket, isTicket := ParseTicket(request.Key)
	switch {
	case isTicket && !r.IsIssuer(ticket):
		return nil, newRefusal(request.InitialPhase(), outcome.ReasonIssuerGone, "the ticket was issued by another process of entry "+ticket.Entry)
	case isTicket && !r.hasValidSignature(ticket), !isTicket && strings.HasPrefix(request.Key, TicketPrefix):
		return nil, newRefusal(outcome.NotDispatched, outcome.ReasonKeyForged, "no look-up has given out this ticket")
	}
	claim, existing, refusal := r.addClaim(request, ticket)
	switch {
	case refusal != nil:
		return nil, refusal
	case existing != nil:
		return nil, existing.awaitResult(ctx, request.Digest)
	case isTicket:
		return claim, nil
	}
	claim.row = rowName(request.Service, request.Key)
	if result := r.claimInTable(ctx, claim, request); result != nil {
		claim.abandon(*result)
		return nil, result
	}
	return claim, nil
}

// newRefusal returns the result of a request that is not run by this call.
func newRefusal(phase outcome.DispatchPhase, reason outcome.Reason, detail string) *Result {
	return &Result{
		Outcome: outcome.FromPhase(phase, reason, detail),
	}
}

// addClaim adds a claim of the key in memory. It returns either the added
// claim, or the existing claim of the key, or the reason why the key is
// refused. Ticket is nil for a caller's own key.
func (r *Register) addClaim(request Request, ticket *Ticket) (added, existing *Claim, refusal *Result) {
	id := newKeyID(request.Service, request.Key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired()
	if existing := r.keys[id]; existing != nil {
		return nil, existing, nil
	}
	phase := request.InitialPhase()
	if ticket != nil {
		if refusal := r.refuseExpired(ticket); refusal != nil {
			return nil, nil, refusal
		}
		phase = outcome.NotDispatched
	}
	if len(r.keys) >= r.maxKeys {
		return nil, nil, newRefusal(phase, outcome.ReasonKeysFull, "this entry remembers as many keys as it may")
	}
	r.lastNumber++
	added = &Claim{
		register:  r,
		id:        id,
		number:    r.lastNumber,
		digest:    request.Digest,
		claimedAt: time.Now(),
		done:      make(chan struct{}),
	}
	r.keys[id] = added
	return added, nil, nil
}

// awaitResult waits until the claim's request has ended and returns its result,
// for a repeat with the given digest.
func (c *Claim) awaitResult(ctx context.Context, digest Digest) *Result {
	if c.digest != digest {
		return newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonKeyReused, "the key was used for another request")
	}
	select {
	case <-c.doneChannel():
		result := c.loadResult()
		return &result
	case <-ctx.Done():
		return newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonRunning, "the first request with this key still runs")
	}
}

// closedChannel replaces the done channels of ended claims, which would be a
// large part of the memory that remembered claims take.
var closedChannel = make(chan struct{})

func init() {
	close(closedChannel)
}

// doneChannel returns a channel that is closed once the request has ended.
func (c *Claim) doneChannel() <-chan struct{} {
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	return c.done
}

// setResult sets the result and wakes all waiters. The caller must hold the
// register's lock.
func (c *Claim) setResult(result Result) {
	c.result = result
	close(c.done)
	c.done = closedChannel
}

// loadResult returns the result of an ended claim.
func (c *Claim) loadResult() Result {
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	return c.result
}

// Finish records how the request ended. A request that did not run may be sent
// again under the same key.
func (c *Claim) Finish(result Result) {
	r := c.register
	r.mu.Lock()
	c.setResult(result)
	if result.Outcome.Kind == outcome.NotRun {
		delete(r.keys, c.id)
		r.markReleased(c.number)
	} else {
		r.responses.add(c)
		r.endedClaims.push(c, time.Now().Add(r.retention))
	}
	r.mu.Unlock()
	if c.revision != "" {
		r.recordEnd(c, result)
		c.row, c.revision = "", ""
	}
}

// abandon ends a claim whose row could not be written. The result goes only to
// requests that wait for it; a later repeat tries to claim the key again.
func (c *Claim) abandon(result Result) {
	r := c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	c.setResult(result)
	delete(r.keys, c.id)
	r.markReleased(c.number)
}

// maxReleasedNumbers limits how many numbers of released claims are kept. A
// claim whose number was dropped counts as possibly used.
const maxReleasedNumbers = 1 << 16

// markReleased records that a claim was released unused. The caller must hold
// the lock.
func (r *Register) markReleased(number uint64) {
	if len(r.released) >= maxReleasedNumbers {
		delete(r.released, r.releasedQueue.pop())
	}
	r.released[number] = struct{}{}
	r.releasedQueue.push(number, time.Now().Add(RowLifetime))
}

// dropExpired forgets the claims and the released numbers that have expired.
// The caller must hold the lock.
func (r *Register) dropExpired() {
	now := time.Now()
	for r.endedClaims.headExpired(now) {
		claim := r.endedClaims.pop()
		r.responses.dropResponse(claim)
		delete(r.keys, claim.id)
	}
	for r.releasedQueue.headExpired(now) {
		delete(r.released, r.releasedQueue.pop())
	}
}

// Size returns how many keys are remembered, and the total bytes of the
// remembered responses.
func (r *Register) Size() (keys, responseBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.keys), r.responses.totalBytes
}
