// Package key makes a non-idempotent request run at most once, by means of its
// idempotency key. There are two kinds of keys. A ticket is a key that an entry
// has issued; only the incarnation that issued it runs a request under it, and
// it records the claim in memory only. A caller's own key, which the caller has
// chosen, is claimed by writing a row to the platform's table before the request is
// dispatched.
//
// A claim that may have been used is never taken over, however long its
// claimant, the entry that made it, is silent. A claimant that resumes after a
// pause thus can't make a request run twice, and the outcome of a request that was
// unfinished when its claimant died stays unknown.
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
	// RowLifetime is the least time for which the claim of a caller's own key stays
	// in the table, unless it is released. A key that is sent again after its row was
	// removed counts as a new one.
	RowLifetime = 24 * time.Hour

	// The defaults of WithMaxDeadline, WithMaxKeys and WithMaxResponseBytes.
	defaultMaxDeadline      = 5 * time.Minute
	defaultMaxKeys          = 50_000
	defaultMaxResponseBytes = 8 << 20
)

// Digest identifies the content of a request, without its key. If a key is sent
// again with another digest, the request is refused.
type Digest [16]byte

// NewDigest returns the digest of an encoding of the request. The encoding must
// delimit its parts unambiguously, so that no two different requests have the
// same encoding.
func NewDigest(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(sum[:len(Digest{})])
}

// Register claims idempotency keys for one incarnation of an entry, and
// remembers the results of their requests. Its methods may be called
// concurrently.
type Register struct {
	// entry and incarnation identify the process that makes the claims.
	entry       string
	incarnation uint64
	// table holds the claims of callers' own keys.
	table platform.Table
	// queryClaimant queries the entry that made a claim for its state; nil unless
	// WithQueryFunc sets it.
	queryClaimant QueryFunc
	// writer writes the rows of claims to table.
	writer *groupWriter
	// retention is how long after its end a request is remembered.
	retention time.Duration
	// maxKeys limits the number of claims in keys.
	maxKeys int
	// secret is the key of the ticket signatures, random for each incarnation.
	secret []byte
	// started is when the register was created. Tickets state their time of issue
	// relative to it.
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
	// released holds the numbers of claims that were released: no request ran under
	// them, nor will one.
	released map[uint64]struct{}
	// releasedQueue holds the same numbers in order of expiry.
	releasedQueue expiryQueue[uint64]
}

// keyID is the hash of a service name and an idempotency key.
type keyID [16]byte

// newKeyID returns the keyID of a service name and an idempotency key.
func newKeyID(service, idempotencyKey string) keyID {
	return keyID(NewDigest([]byte(service + "\x00" + idempotencyKey)))
}

// QueryFunc queries another entry for the state of a claim.
type QueryFunc func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error)

// Option configures a Register.
type Option func(*Register)

// WithQueryFunc lets the register query the entry that made a claim for its state.
// Without it, the state is only read from the claim's row.
func WithQueryFunc(query QueryFunc) Option {
	return func(r *Register) { r.queryClaimant = query }
}

// WithMaxDeadline sets the longest time that a request may take. Requests are
// remembered for TicketLifetime plus that time after their end.
func WithMaxDeadline(longest time.Duration) Option {
	return func(r *Register) { r.retention = TicketLifetime + longest }
}

// WithMaxKeys limits how many keys are remembered, including those of running
// requests. At the limit, new keys are refused until older ones expire.
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
// disables group commit. Only writes carried over, see groupWriter, can exceed the
// limit.
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

// Incarnation returns the incarnation for which the register claims keys and issues
// tickets.
func (r *Register) Incarnation() uint64 {
	return r.incarnation
}

// SetEntryCount sets the number of entries among which the table's total rate of
// commits is divided equally, and so limits the commits of this register.
func (r *Register) SetEntryCount(entries int) {
	r.writer.setEntryCount(entries)
}

// Run writes claims and results to the table and removes expired rows until ctx is
// done. Then it writes one last batch.
func (r *Register) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.sweep(ctx) })
	r.writer.run(ctx)
	group.Wait()
}

// Claim is the right to run a request once. The caller of Register.Claim must call
// Finish when the request has ended.
type Claim struct {
	register *Register
	id       keyID
	// number distinguishes the claim from the others of its incarnation.
	number uint64
	// digest is the digest of the request that made the claim.
	digest Digest
	// rowName is the name of the claim's row in the table, "" for a ticket.
	rowName string
	// revision is the revision of the row as this claim wrote it, "" if there is no
	// row. Finish clears it and rowName.
	revision  platform.Revision
	claimedAt time.Time
	// done is closed when the request has ended, after result is set.
	done   chan struct{}
	result Result
}

// Result describes how a request with an idempotency key ended.
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

// InitialPhase returns the phase of the request to assume before its key is looked
// up: it may have been dispatched already, unless the caller states that this is
// the first send.
func (r Request) InitialPhase() outcome.DispatchPhase {
	if r.FirstSend {
		return outcome.NotDispatched
	}
	return outcome.MaybeDispatchedElsewhere
}

// Claim claims the request's key. It returns either a claim, or the result to
// return to the caller instead of running the request. If another request runs under
// the key, Claim waits for its result until ctx is done.
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
	claim.rowName = rowName(request.Service, request.Key)
	if result := r.claimInTable(ctx, claim, request); result != nil {
		claim.abandon(*result)
		return nil, result
	}
	return claim, nil
}

// newRefusal returns the result of a request that this entry does not run. The
// phase says whether an earlier send of the request may have run.
func newRefusal(phase outcome.DispatchPhase, reason outcome.Reason, detail string) *Result {
	return &Result{
		Outcome: outcome.FromPhase(phase, reason, detail),
	}
}

// addClaim adds a claim of the request's key to r.keys. It returns the added claim,
// the existing claim of the key, or the refusal of the request. The ticket is nil
// for a caller's own key.
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

// awaitResult waits until the claim's request has ended and returns its result. It
// is called for another request with the same key, which has the given digest.
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

// closedChannel replaces the done channel of each ended claim. A channel of its own
// would be a large part of the memory that a remembered claim takes.
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

// Finish records how the request ended. If it did not run, the claim is released
// and the key may be claimed again.
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
		r.recordResult(c, result)
		c.rowName, c.revision = "", ""
	}
}

// abandon ends and releases a claim whose row is not known to hold it. The result is
// returned only to requests that are waiting for it; a later request with the key tries
// to claim it again.
func (c *Claim) abandon(result Result) {
	r := c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	c.setResult(result)
	delete(r.keys, c.id)
	r.markReleased(c.number)
}

// maxReleasedNumbers limits how many numbers of released claims are kept. A
// claim whose number was dropped is treated as possibly used.
const maxReleasedNumbers = 1 << 16

// markReleased records that the claim with a number was released, and drops the oldest
// such record if there are maxReleasedNumbers. The caller must hold the lock.
func (r *Register) markReleased(number uint64) {
	if len(r.released) >= maxReleasedNumbers {
		delete(r.released, r.releasedQueue.pop())
	}
	r.released[number] = struct{}{}
	r.releasedQueue.push(number, time.Now().Add(RowLifetime))
}

// dropExpired removes the ended claims and the released numbers that have expired.
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

// Size returns how many keys are remembered, including those of running requests, and
// the total size of the remembered responses in bytes.
func (r *Register) Size() (keys, responseBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.keys), r.responses.totalBytes
}
