// Package key makes a non-idempotent request run at most once: by tickets that
// only the entry that issued them runs, and by callers' own keys that are
// claimed in the platform's table before dispatch.
package key

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/platform"
)

// Register remembers the keys that this incarnation of the entry has claimed.
type Register struct {
	// Entry and Incarnation mark what this process claims.
	Entry       string
	Incarnation uint64
	// Table holds the claims of callers' own keys.
	Table platform.Table

	issued atomic.Uint64

	mu   sync.Mutex
	keys map[string]*record
}

type record struct {
	digest string
	claim  *Claim
}

// Claim is the right to run a request once. Finish must be called.
type Claim struct {
	register *Register
	record   string
	done     chan struct{}
	result   Result
}

// Result is how a claimed request ended.
type Result struct {
	Outcome outcome.Outcome
	// Status, Header and Body are the answer; a body too large to remember is nil.
	Status int
	Header http.Header
	Body   []byte
}

const ticketPrefix = "ticket:"

// Issue returns a new ticket.
func (r *Register) Issue() string {
	return fmt.Sprintf("%s%s:%d:%d", ticketPrefix, r.Entry, r.Incarnation, r.issued.Add(1))
}

// Ticket is the content of a ticket's text.
type Ticket struct {
	Entry       string
	Incarnation uint64
	Number      uint64
}

// ParseTicket reads a ticket, and reports whether the key is one.
func ParseTicket(key string) (Ticket, bool) {
	text, found := strings.CutPrefix(key, ticketPrefix)
	if !found {
		return Ticket{}, false
	}
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return Ticket{}, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Ticket{}, false
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	return Ticket{
		Entry:       parts[0],
		Incarnation: incarnation,
		Number:      number,
	}, err == nil
}

// Begin claims a key for a request of a digest. It returns either a claim, or
// the result that the caller is to be told instead of running the request.
func (r *Register) Begin(ctx context.Context, service, key, digest string) (*Claim, *Result) {
	name := service + "/" + key
	if ticket, is := ParseTicket(key); is && !r.mine(ticket) {
		return nil, refuse(outcome.NotRun, outcome.ReasonKeyElsewhere, "the ticket belongs to entry "+ticket.Entry)
	}
	claim, result := r.remember(ctx, name, digest)
	if claim == nil {
		return nil, result
	}
	if _, is := ParseTicket(key); is {
		return claim, nil
	}
	if result := r.claimInTable(ctx, name, digest); result != nil {
		claim.Finish(*result)
		return nil, result
	}
	return claim, nil
}

func (r *Register) mine(ticket Ticket) bool {
	return ticket.Entry == r.Entry && ticket.Incarnation == r.Incarnation && ticket.Number <= r.issued.Load()
}

func refuse(kind outcome.Kind, reason outcome.Reason, detail string) *Result {
	return &Result{
		Outcome: outcome.Outcome{
			Kind:   kind,
			Reason: reason,
			Detail: detail,
		},
	}
}

// remember enters a key in memory, or waits for the end of the one there.
func (r *Register) remember(ctx context.Context, name, digest string) (*Claim, *Result) {
	r.mu.Lock()
	known := r.keys[name]
	if known == nil {
		claim := &Claim{
			register: r,
			record:   name,
			done:     make(chan struct{}),
		}
		if r.keys == nil {
			r.keys = make(map[string]*record)
		}
		r.keys[name] = &record{
			digest: digest,
			claim:  claim,
		}
		r.mu.Unlock()
		return claim, nil
	}
	r.mu.Unlock()
	if known.digest != digest {
		return nil, refuse(outcome.NotRun, outcome.ReasonKeyReused, "the key was used for another request")
	}
	select {
	case <-known.claim.done:
		result := known.claim.result
		return nil, &result
	case <-ctx.Done():
		return nil, refuse(outcome.Unknown, outcome.ReasonRunning, "the first request with this key still runs")
	}
}

// claimInTable inserts the key's row, and returns nil when this process holds it.
func (r *Register) claimInTable(ctx context.Context, name, digest string) *Result {
	mark := fmt.Sprintf("%s:%d %s", r.Entry, r.Incarnation, digest)
	row := "key/" + name
	_, err := r.Table.Commit(ctx, []platform.Write{{
		Row:   row,
		Value: []byte(mark),
	}})
	if err == nil {
		return nil
	}
	actual, readErr := r.Table.Read(ctx, row)
	if readErr == nil && string(actual.Value) == mark {
		return nil
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return refuse(outcome.Unknown, outcome.ReasonKeyElsewhere, "another entry has claimed the key")
	}
	return refuse(outcome.NotRun, outcome.ReasonStoreDown, "the key could not be claimed; ask for a ticket with the look-up")
}

// Finish records how the request ended. A request that did not run may be sent
// again under the same key.
func (c *Claim) Finish(result Result) {
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	c.result = result
	if result.Outcome.Kind == outcome.NotRun {
		delete(c.register.keys, c.record)
	}
	close(c.done)
}
