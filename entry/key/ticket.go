package key

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/outcome"
)

// TicketPrefix begins the text of every ticket.
const TicketPrefix = "ticket:"

// Ticket is an idempotency key that an entry has issued. Only the incarnation
// that issued it runs a request under it.
type Ticket struct {
	Entry       string
	Incarnation uint64
	Number      uint64
	// IssuedAfterStart is the time of issue since the start of the incarnation.
	IssuedAfterStart time.Duration

	// signed is the text that the signature covers.
	signed    string
	signature string
}

// signatureBytes is the length of a ticket's signature.
const signatureBytes = 16

// IssueTicket returns the text of a new ticket.
func (r *Register) IssueTicket() string {
	r.mu.Lock()
	r.number++
	number := r.number
	r.mu.Unlock()
	signed := fmt.Sprintf("%s%s:%d:%d:%d", TicketPrefix, r.entry, r.incarnation, number, time.Since(r.started).Milliseconds())
	return signed + ":" + r.sign(signed)
}

// sign returns the signature of a text under this incarnation's own secret, so
// that a caller cannot make up a ticket that was never given out.
func (r *Register) sign(text string) string {
	mac := hmac.New(sha256.New, r.secret)
	mac.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:signatureBytes])
}

// ParseTicket reads a ticket, and reports whether the key is one. The ticket
// is nil if not. Its signature is not checked: only the issuer can.
func ParseTicket(key string) (*Ticket, bool) {
	text, found := strings.CutPrefix(key, TicketPrefix)
	if !found {
		return nil, false
	}
	parts := strings.Split(text, ":")
	if len(parts) != 5 {
		return nil, false
	}
	var numbers [3]uint64
	for i, part := range parts[1:4] {
		number, err := strconv.ParseUint(part, 10, 63)
		if err != nil {
			return nil, false
		}
		numbers[i] = number
	}
	return &Ticket{
		Entry:            parts[0],
		Incarnation:      numbers[0],
		Number:           numbers[1],
		IssuedAfterStart: time.Duration(numbers[2]) * time.Millisecond,
		signed:           strings.TrimSuffix(key, ":"+parts[4]),
		signature:        parts[4],
	}, true
}

// IsIssuer reports whether a ticket claims to be of this incarnation.
func (r *Register) IsIssuer(ticket *Ticket) bool {
	return ticket.Entry == r.entry && ticket.Incarnation == r.incarnation
}

// genuine reports whether this incarnation did issue the ticket.
func (r *Register) genuine(ticket *Ticket) bool {
	return hmac.Equal([]byte(r.sign(ticket.signed)), []byte(ticket.signature))
}

// tooOld refuses a ticket past its lifetime, for which no record is kept. A
// record outlives its ticket's lifetime by the longest deadline, so until then
// the lack of one proves that the ticket was never used.
func (r *Register) tooOld(ticket *Ticket) *Result {
	age := time.Since(r.started) - ticket.IssuedAfterStart
	switch {
	case age <= TicketLifetime:
		return nil
	case age < r.retention:
		return refuse(outcome.NotDispatched, outcome.ReasonKeyExpired, "the ticket is too old and was never used")
	}
	return refuse(outcome.MaybeDispatchedElsewhere, outcome.ReasonKeyExpired, "the ticket is too old to know what became of it")
}
