package outcome

import (
	"context"

	"github.com/go-faster/errors"
)

// DispatchPhase says how far a request has progressed to a backend server, as far
// as the process that determines its outcome can know.
type DispatchPhase uint8

// Phases of a request. The zero value is Dispatched, which leads to an unknown
// outcome.
const (
	// Dispatched means that bytes of the request may have reached a backend server.
	Dispatched DispatchPhase = iota
	// NotDispatched means that no byte of the request has been sent to a backend
	// server, and none will be.
	NotDispatched
	// RefusedByReceiver means that the receiver of the request stated that it has not
	// executed the request and never will.
	RefusedByReceiver
	// MaybeDispatchedElsewhere means that another entry, or an earlier request with
	// the same idempotency key, may have dispatched the request.
	MaybeDispatchedElsewhere
	// Answered means that the whole response of the backend server was received.
	Answered
)

// FromPhase returns the outcome of a request that ended in a phase. Packages
// dispatch, key and quarantine may create outcomes only by this function, FromError
// and FromPeer, which a test of package dispatch checks. So every outcome follows
// the same rule:
//
//   - not run, only if no byte can have reached a backend server that may execute
//     the request, or if the receiver refused the request;
//   - done, only if the whole response of the backend server was received;
//   - unknown otherwise, regardless of the reason.
func FromPhase(phase DispatchPhase, reason Reason, detail string) Outcome {
	out := Outcome{
		Kind:   Unknown,
		Reason: reason,
		Detail: detail,
	}
	switch phase {
	case NotDispatched, RefusedByReceiver:
		out.Kind = NotRun
	case Answered:
		out.Kind = Done
	}
	return out
}

// FromError returns the outcome of a request that ended in a phase with an error.
// The reason is ReasonDeadline or ReasonCanceled for an error of a context, and the
// fallback for any other error.
func FromError(phase DispatchPhase, fallback Reason, err error) Outcome {
	reason := fallback
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = ReasonDeadline
	case errors.Is(err, context.Canceled):
		reason = ReasonCanceled
	}
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	return FromPhase(phase, reason, detail)
}

// FromPeer returns the outcome of a request that was relayed to another entry. The
// argument stated is the name of the outcome's kind in that entry's response; any
// other text means unknown. The stated outcome also covers the processes to which
// the other entry forwarded the request.
func FromPeer(stated string, reason Reason, detail string) Outcome {
	phase := Dispatched
	switch ParseKind(stated) {
	case NotRun:
		phase = RefusedByReceiver
	case Done:
		phase = Answered
	}
	return FromPhase(phase, reason, detail)
}
