package outcome

import (
	"context"

	"github.com/go-faster/errors"
)

// DispatchPhase is how far a request has come towards a backend server, as far as the
// process that states its outcome can know.
type DispatchPhase uint8

// Phases of a request. The zero value is Dispatched, which promises nothing.
const (
	// Dispatched means that bytes may have reached a backend server.
	Dispatched DispatchPhase = iota
	// NotDispatched means that no byte has left for a backend server, and none will.
	NotDispatched
	// RefusedByReceiver means that bytes may have left, but the process that got them
	// said itself that it has not run the request and never will.
	RefusedByReceiver
	// MaybeDispatchedElsewhere means that another entry, or an earlier request under the same
	// key, may have dispatched it.
	MaybeDispatchedElsewhere
	// Answered means that the backend server's whole answer was received.
	Answered
)

// FromPhase is the rule that gives a request its outcome. Every path of the program
// that ends a request goes through it:
//
//   - not run, only while no byte can have reached a backend server that may
//     run the request, or when the receiver itself refused it;
//   - done, only with the whole answer of the backend server;
//   - unknown otherwise, whatever the reason.
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

// FromError gives the outcome of a request that an error ended. The reason is
// taken from a context's error, and is otherwise the given one.
func FromError(phase DispatchPhase, otherwise Reason, err error) Outcome {
	reason := otherwise
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

// FromPeer gives the outcome that a peer stated for a request that was sent to
// it. A peer speaks for everything that happened behind it; what it doesn't
// say plainly is unknown.
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
