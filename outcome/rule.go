package outcome

import (
	"context"

	"github.com/go-faster/errors"
)

// Phase is how far a request has come towards a backend server.
type Phase uint8

// Phases of a request.
const (
	// Held means that no byte has left for a backend server.
	Held Phase = iota
	// Dispatched means that bytes may have reached a backend server.
	Dispatched
	// Shed means that the backend server said that it will not run the request.
	Shed
)

// Failed is the rule that gives a request without an answer its outcome: not
// run while no byte can have reached a backend server that may run it, or when
// that server itself refused it; otherwise unknown.
func Failed(phase Phase, err error) Outcome {
	switch phase {
	case Held:
		return Outcome{
			Kind:   NotRun,
			Reason: reasonOf(err, ReasonConnect),
			Detail: text(err),
		}
	case Shed:
		return Outcome{
			Kind:   NotRun,
			Reason: ReasonShed,
		}
	}
	return Outcome{
		Kind:   Unknown,
		Reason: reasonOf(err, ReasonBroken),
		Detail: text(err),
	}
}

func reasonOf(err error, otherwise Reason) Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(err, context.Canceled):
		return ReasonCanceled
	}
	return otherwise
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
