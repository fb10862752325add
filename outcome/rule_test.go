package outcome_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/teaselstack/teaselstack/outcome"
)

// TestOutcomeByPhaseAndError compares the outcomes for each phase and error, and
// for each kind that a peer may state, with a golden file.
func TestOutcomeByPhaseAndError(t *testing.T) {
	phases := []struct {
		name  string
		phase outcome.DispatchPhase
	}{
		{
			name:  "dispatched",
			phase: outcome.Dispatched,
		},
		{
			name:  "held",
			phase: outcome.NotDispatched,
		},
		{
			name:  "refused",
			phase: outcome.RefusedByReceiver,
		},
		{
			name:  "elsewhere",
			phase: outcome.MaybeDispatchedElsewhere,
		},
	}
	var table strings.Builder
	for _, each := range phases {
		for _, err := range []error{
			io.ErrUnexpectedEOF,
			context.DeadlineExceeded,
			fmt.Errorf("wait: %w", context.Canceled),
		} {
			out := outcome.FromError(each.phase, outcome.ReasonConnectionBroken, err)
			fmt.Fprintf(&table, "%-11s %-26s %-8s %-18s %d\n", each.name, err, out.Kind, out.Reason, out.HTTPStatus())
		}
	}
	for _, stated := range []string{"done", "not-run", "unknown", "", "Not-Run"} {
		fmt.Fprintf(&table, "peer said   %-26q %s\n", stated, outcome.FromPeer(stated, "", "").Kind)
	}
	golden.Assert(t, table.String(), "rule.golden")
}

// TestZeroValuesMeanUnknown checks that an outcome is unknown if the phase or kind
// was never set. A zero value of "not run" would tell the caller that it may retry.
func TestZeroValuesMeanUnknown(t *testing.T) {
	var phase outcome.DispatchPhase
	assert.Equal(t, outcome.FromPhase(phase, "", "").Kind, outcome.Unknown)
	assert.Equal(t, outcome.Outcome{}.Kind, outcome.Unknown)
}
