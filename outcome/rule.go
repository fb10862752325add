package outcome

import (
	"context"

	"github.com/go-faster/errors"
)

// Phase is how far a request has come towards a backend server, as far as the
// process that states its outcome can know.
type Phase uint8

// Phases of a request. The zero value is Dispatched, which promises nothing.
const (
	// Dispatched means that bytes may have reached a backend server.
	Dispatched Phase = iota
	// Held means that no byte has left for a backend server, and none will.
	Held
	// Refused means that bytes may have left, but the process that got them
	// said itself that it has not run the request and never will.
	Refused
	// Elsewhere means that another entry, or an earlier request under the same
	// key, may have dispatched it.
	Elsewhere
	// Answered means that the backend server's whole answer was received.
	Answered
)

// End is the rule that gives a request its outcome. Every path of the program
// that ends a request goes through it:
//
//   - not run, only while no byte can have reached a backend server that may
//     run the request, or when the receiver itself refused it;
//   - done, only with the whole answer of the backend server;
//   - unknown otherwise, whatever the reason.
func End(phase Phase, reason Reason, detail string) Outcome {
	out := Outcome{
		Kind:   Unknown,
		Reason: reason,
		Detail: detail,
	}
	switch phase {
	case Held, Refused:
		out.Kind = NotRun
	case Answered:
		out.Kind = Done
	}
	return out
}

// Failed gives the outcome of a request that an error ended. The reason is
// taken from a context's error, and is otherwise the given one.
func Failed(phase Phase, otherwise Reason, err error) Outcome {
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
	return End(phase, reason, detail)
}

// FromPeer gives the outcome that a peer stated for a request that was sent to
// it. A peer speaks for everything that happened behind it; what it doesn't
// say plainly is unknown.
func FromPeer(stated string, reason Reason, detail string) Outcome {
	phase := Dispatched
	switch Parse(stated) {
	case NotRun:
		phase = Refused
	case Done:
		phase = Answered
	}
	return End(phase, reason, detail)
}
