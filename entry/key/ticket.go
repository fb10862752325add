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
// that issued it runs a request under it. Its text is
//
//	ticket:ENTRY:INCARNATION:NUMBER:MILLISECONDS:SIGNATURE
//
// where MILLISECONDS is the time from the start of the incarnation to the issue.
type Ticket struct {
	// Entry and Incarnation identify the process that issued the ticket.
	Entry       string
	Incarnation uint64
	// Number distinguishes the ticket from the others of its incarnation.
	Number uint64
	// IssuedAfterStart is the time from the start of the incarnation to the issue of
	// the ticket.
	IssuedAfterStart time.Duration

	// signedText is the part of the ticket's text that the signature covers.
	signedText string
	signature  string
}

// signatureBytes is the length, before encoding, to which a ticket's signature is
// truncated.
const signatureBytes = 16

// IssueTicket returns the text of a new ticket.
func (r *Register) IssueTicket() string {
	r.mu.Lock()
	r.lastNumber++
	number := r.lastNumber
	r.mu.Unlock()
	signed := fmt.Sprintf("%s%s:%d:%d:%d", TicketPrefix, r.entry, r.incarnation, number, time.Since(r.started).Milliseconds())
	return signed + ":" + r.sign(signed)
}

// sign returns the signature of a text, a truncated HMAC under the secret of this
// incarnation. The signature keeps callers from forging tickets.
func (r *Register) sign(text string) string {
	mac := hmac.New(sha256.New, r.secret)
	mac.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:signatureBytes])
}

// ParseTicket parses the text of a ticket. It returns nil and false if the key
// does not have the form of a ticket. It does not verify the signature, which only the
// issuer can do.
func ParseTicket(key string) (*Ticket, bool) {
	fields, found := strings.CutPrefix(key, TicketPrefix)
	if !found {
		return nil, false
	}
	parts := strings.Split(fields, ":")
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
		signedText:       strings.TrimSuffix(key, ":"+parts[4]),
		signature:        parts[4],
	}, true
}

// IsIssuer reports whether the ticket names this incarnation as its issuer. It
// does not verify the signature.
func (r *Register) IsIssuer(ticket *Ticket) bool {
	return ticket.Entry == r.entry && ticket.Incarnation == r.incarnation
}

// hasValidSignature reports whether this incarnation has signed the ticket.
func (r *Register) hasValidSignature(ticket *Ticket) bool {
	return hmac.Equal([]byte(r.sign(ticket.signedText)), []byte(ticket.signature))
}

// refuseExpired returns a refusal for a ticket that is past its lifetime and not
// among the remembered keys, and nil for a ticket within its lifetime. A used
// ticket is remembered until its age is at least r.retention, which is longer than
// TicketLifetime. So a ticket that is younger than r.retention and not remembered was
// never used; whether an older one was used is unknown.
func (r *Register) refuseExpired(ticket *Ticket) *Result {
	age := time.Since(r.started) - ticket.IssuedAfterStart
	switch {
	case age <= TicketLifetime:
		return nil
	case age < r.retention:
		return newRefusal(outcome.NotDispatched, outcome.ReasonKeyExpired, "the ticket is too old and was never used")
	}
	return newRefusal(outcome.MaybeDispatchedElsewhere, outcome.ReasonKeyExpired, "the ticket is too old to know what became of it")
}
