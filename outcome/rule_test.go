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

// TestRule writes the rule out for each phase and sign.
func TestRule(t *testing.T) {
	phases := []struct {
		name  string
		phase outcome.Phase
	}{
		{
			name:  "dispatched",
			phase: outcome.Dispatched,
		},
		{
			name:  "held",
			phase: outcome.Held,
		},
		{
			name:  "refused",
			phase: outcome.Refused,
		},
		{
			name:  "elsewhere",
			phase: outcome.Elsewhere,
		},
	}
	var table strings.Builder
	for _, each := range phases {
		for _, err := range []error{
			io.ErrUnexpectedEOF,
			context.DeadlineExceeded,
			fmt.Errorf("wait: %w", context.Canceled),
		} {
			out := outcome.Failed(each.phase, outcome.ReasonBroken, err)
			fmt.Fprintf(&table, "%-11s %-26s %-8s %-18s %d\n", each.name, err, out.Kind, out.Reason, out.HTTPStatus())
		}
	}
	for _, stated := range []string{"done", "not-run", "unknown", "", "Not-Run"} {
		fmt.Fprintf(&table, "peer said   %-26q %s\n", stated, outcome.FromPeer(stated, "", "").Kind)
	}
	golden.Assert(t, table.String(), "rule.golden")
}

// TestZeroValuesPromiseNothing keeps a forgotten field from saying "not run".
func TestZeroValuesPromiseNothing(t *testing.T) {
	var phase outcome.Phase
	assert.Equal(t, outcome.End(phase, "", "").Kind, outcome.Unknown)
	assert.Equal(t, outcome.Outcome{}.Kind, outcome.Unknown)
}
