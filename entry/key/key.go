// Package key makes a non-idempotent request run at most once, by means of its
// idempotency key. An entry claims the key before it dispatches the request, and
// remembers the result for requests that are sent again under the key.
//
// There are two kinds of keys. A ticket is a key that an entry has issued. Only the
// incarnation that issued the ticket, which is one process of the entry, accepts it.
// The claim of a ticket is kept in the memory of that process only. Any other key is
// a caller's own key, chosen by the caller. It is claimed by writing a row to the
// platform's transactional table (platform.Table).
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
	// queryClaimant asks another entry for the state of a claim that it made; nil
	// unless WithQueryFunc sets it.
	queryClaimant QueryFunc
	// writer writes the rows of claims to table by group commit.
	writer *groupWriter
	// retention is how long a claim is kept after its request has ended.
	retention time.Duration
	// maxKeys limits the number of keys in claims.
	maxKeys int
	// secret is the HMAC secret that signs tickets, random for each incarnation.
	secret []byte
	// started is when the register was created. Tickets state their time of issue
	// relative to it.
	started time.Time

	mu sync.Mutex
	// lastNumber is the number of the last claim or ticket.
	lastNumber uint64
	// claims holds the claims of running requests, and those of ended requests until
	// they expire.
	claims map[keyID]*Claim
	// endedClaims holds the claims of ended requests in order of expiry.
	endedClaims expiryQueue[*Claim]
	// responses limits the total size of the responses in endedClaims.
	responses responseEvictor
	// released holds the numbers of claims that were released: no request ran under
	// them, nor will one.
	released map[uint64]struct{}
	// releasedQueue holds the same numbers in order of expiry.
	releasedQueue expiryQueue[uint64]
}

// keyID is the hash of a service name and an idempotency key.
type keyID [16]byte

// newKeyID returns the hash of a service name and a key, with a NUL byte between them.
// The key contains no NUL byte, since it comes from an HTTP header.
func newKeyID(service, idempotencyKey string) keyID {
	return keyID(NewDigest([]byte(service + "\x00" + idempotencyKey)))
}

// QueryFunc asks another entry for the state of a claim that it made.
type QueryFunc func(ctx context.Context, entry string, request *teaselv1.KeyRequest) (*teaselv1.KeyResponse, error)

// Option configures a Register.
type Option func(*Register)

// WithQueryFunc sets the function by which the register asks another entry for the
// state of a claim. Without it, the state is only read from the claim's row.
func WithQueryFunc(query QueryFunc) Option {
	return func(r *Register) { r.queryClaimant = query }
}

// WithMaxDeadline tells the register the longest time that a request may take, which
// the register does not enforce. Requests are remembered for TicketLifetime plus that
// time after their end.
func WithMaxDeadline(longest time.Duration) Option {
	return func(r *Register) { r.retention = TicketLifetime + longest }
}

// WithMaxKeys limits the number of keys of running and remembered requests together.
// At the limit, new keys are refused until older ones expire or are released.
func WithMaxKeys(limit int) Option {
	return func(r *Register) { r.maxKeys = limit }
}

// WithMaxResponseBytes limits the total size of the remembered responses. The
// oldest responses are dropped first; the outcome and status of their requests
// stay.
func WithMaxResponseBytes(limit int) Option {
	return func(r *Register) { r.responses.maxBytes = limit }
}

// WithMaxBatch limits how many writes share one transaction; 1 disables group
// commit. A transaction may exceed the limit by writes that were left over from
// earlier ones.
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
		claims:      make(map[keyID]*Claim),
		released:    make(map[uint64]struct{}),
		responses: responseEvictor{
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

// SetEntryCount limits the rate of this register's commits to an equal share of the
// rate that the given number of entries may use together.
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

// Claim is the right to run a request once. Whoever gets a Claim must call Finish
// when the request has ended.
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
	// row. Finish clears rowName and revision, since an ended claim doesn't need them.
	revision  platform.Revision
	claimedAt time.Time
	// done is closed when the request has ended, after result is set.
	done   chan struct{}
	result Result
}

// Result describes how a request with an idempotency key ended.
type Result struct {
	Outcome outcome.Outcome
	// Status is the HTTP status of the backend server's response, or 0 if there was no
	// response.
	Status int
	// Response is the backend server's response, or nil if there was none. It is also
	// nil if the response was too long to remember, has been dropped since, or was
	// remembered by another entry of which only the claim's row can be read.
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
// return to the caller instead of running the request. If a request with the same
// digest runs under the key, Claim waits for the result of that request until ctx is
// done.
func (r *Register) Claim(ctx context.Context, request Request) (*Claim, *Result) {
	ticket, isTicket := ParseTicket(request.Key)
	switch {
	case isTicket && !r.IsIssuer(ticket):
		return nil, newRefusal(request.InitialPhase(), outcome.ReasonIssuerGone, "the ticket was issued by another process of entry "+ticket.Entry)
	// The key is not a ticket that this incarnation signed, or has the prefix of tickets
	// but not their form.
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

// addClaim adds a claim of the request's key to r.claims. It returns the added claim,
// the existing claim of the key, or the refusal of the request. The ticket is nil
// for a caller's own key.
func (r *Register) addClaim(request Request, ticket *Ticket) (added, existing *Claim, refusal *Result) {
	id := newKeyID(request.Service, request.Key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired()
	if existing := r.claims[id]; existing != nil {
		return nil, existing, nil
	}
	phase := request.InitialPhase()
	if ticket != nil {
		if refusal := r.refuseExpired(ticket); refusal != nil {
			return nil, nil, refusal
		}
		phase = outcome.NotDispatched
	}
	if len(r.claims) >= r.maxKeys {
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
	r.claims[id] = added
	return added, nil, nil
}

// awaitResult returns the result for a second request with the claim's key. It waits
// until the request that holds the claim has ended or ctx is done. It refuses the
// second request if digest, the digest of that request, differs from the claim's.
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
		delete(r.claims, c.id)
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

// abandon releases a claim of a caller's own key if claimInTable did not confirm the
// claim. Requests that wait for the claim get the given result; later requests claim
// the key anew.
func (c *Claim) abandon(result Result) {
	r := c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	c.setResult(result)
	delete(r.claims, c.id)
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
		delete(r.claims, claim.id)
	}
	for r.releasedQueue.headExpired(now) {
		delete(r.released, r.releasedQueue.pop())
	}
}

// Usage returns the number of keys of running and remembered requests together, and
// the total size of the remembered responses in bytes.
func (r *Register) Usage() (keys, responseBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.claims), r.responses.totalBytes
}
