package caller

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/standin/backend"
	"github.com/teaselstack/teaselstack/standin/relay"
)

// Report compares the results of callers with the counts of backend servers and
// links.
type Report struct {
	Results  []Result
	Backends backend.Report
	Links    []relay.LinkLoad
	// Drain is the drain during the load, or nil if there was none.
	Drain *Drain
}

// Drain describes the drain of one backend server.
type Drain struct {
	// Server is the name of the backend server.
	Server string
	// RequestedAt is when the operator gave the command.
	RequestedAt time.Time
	// IdleAt is when the drain had ended: the server had finished its last request.
	IdleAt time.Time
}

// Check is the result of checking one promise of the product against a run.
type Check struct {
	// Promise is the text of the promise.
	Promise string
	Held    bool
	// Detail gives the figures behind Held.
	Detail string
}

const (
	// maxLinkWait is the longest wait at a link that does not count as overload.
	maxLinkWait = 100 * time.Millisecond
	// drainGrace is how long after the drain command a server may still start
	// requests. The text of the promise in checkDrain states it too.
	drainGrace = 3 * time.Second
)

// Checks checks the promises that hold under any fault. It includes those about links
// and about the drain only if the report contains links or a drain.
func (r *Report) Checks() []Check {
	checks := []Check{
		r.checkResults("each answer is the whole one to its request", func(result Result) bool { return result.ResponseMismatch }),
		r.checkResults("each request that is not idempotent ran at most once", func(result Result) bool {
			return result.Kind != KindBrowse && r.Backends.RunsByTag[result.Tag] > 1
		}),
		r.checkResults("each request that was told done ran", func(result Result) bool {
			return result.Outcome == outcome.Done && r.Backends.RunsByTag[result.Tag] == 0
		}),
		r.checkResults("each request that was told not run never ran", func(result Result) bool {
			return result.Kind != KindBrowse && result.Outcome == outcome.NotRun && r.Backends.RunsByTag[result.Tag] > 0
		}),
		r.checkKeys(),
		{
			Promise: "no backend server got more requests than it has slots",
			Held:    r.Backends.OverSlots == 0,
			Detail:  fmt.Sprintf("%d above, of %d run", r.Backends.OverSlots, r.Backends.Requests),
		},
	}
	if len(r.Links) > 0 {
		checks = append(checks, r.checkLinks())
	}
	if r.Drain != nil {
		checks = append(checks, r.checkDrain())
	}
	return checks
}

// CheckAllDone checks that every request was done. This promise holds only for a
// run with enough slots and without unplanned faults.
func (r *Report) CheckAllDone() Check {
	return r.checkResults("planned work interrupted nobody", func(result Result) bool { return result.Outcome != outcome.Done })
}

// CheckAllGivenOutcome checks that no request ended with ReasonNoAnswer.
func (r *Report) CheckAllGivenOutcome() Check {
	return r.checkResults("each request was given an outcome", func(result Result) bool { return result.Reason == ReasonNoAnswer })
}

// checkResults checks a promise about each result. The promise holds if violates
// returns false for all results.
func (r *Report) checkResults(promise string, violates func(Result) bool) Check {
	count := 0
	first := ""
	for _, result := range r.Results {
		if !violates(result) {
			continue
		}
		count++
		if first == "" {
			first = fmt.Sprintf(", first %s %s %s/%s %q", result.Kind, result.Tag, result.Outcome, result.Reason, result.Detail)
		}
	}
	return Check{
		Promise: promise,
		Held:    count == 0,
		Detail:  fmt.Sprintf("%d not, of %d%s", count, len(r.Results), first),
	}
}

// checkKeys checks that no idempotency key ran more than once.
func (r *Report) checkKeys() Check {
	violations := 0
	for _, runs := range r.Backends.RunsByKey {
		if runs > 1 {
			violations++
		}
	}
	return Check{
		Promise: "each idempotency key ran at most once",
		Held:    violations == 0,
		Detail:  fmt.Sprintf("%d not, of %d", violations, len(r.Backends.RunsByKey)),
	}
}

// checkLinks checks that no bytes waited longer than maxLinkWait at a link.
func (r *Report) checkLinks() Check {
	var longestWait time.Duration
	peakUtilization := 0.0
	for _, load := range r.Links {
		longestWait = max(longestWait, load.LongestWait)
		peakUtilization = max(peakUtilization, float64(load.PeakBytes)/load.BytesPerSecond)
	}
	return Check{
		Promise: "no link was given more than its rate",
		Held:    longestWait <= maxLinkWait,
		Detail:  fmt.Sprintf("fullest second %.1f%% of the rate, longest wait %s", 100*peakUtilization, longestWait.Round(time.Microsecond)),
	}
}

// checkDrain checks that the drained server started no request later than drainGrace
// after the command, and that it started any request at all.
func (r *Report) checkDrain() Check {
	last := r.Backends.LastStart[r.Drain.Server]
	after := time.Duration(0)
	if last.After(r.Drain.RequestedAt) {
		after = last.Sub(r.Drain.RequestedAt)
	}
	return Check{
		Promise: "the drained backend server got no new work after 3s",
		Held:    !last.IsZero() && after <= drainGrace,
		Detail:  fmt.Sprintf("%s: last new work %s after the command", r.Drain.Server, after.Round(time.Millisecond)),
	}
}

// WriteReport writes tables of outcomes, latencies and checks, and returns whether
// all promises held.
func WriteReport(w io.Writer, report *Report, checks []Check) bool {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	report.writeOutcomes(table)
	if report.Drain != nil {
		fmt.Fprintf(table, "drain time\t%s\n", report.Drain.IdleAt.Sub(report.Drain.RequestedAt).Round(time.Millisecond))
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "PROMISE\tHELD\tDETAIL")
	held := true
	for _, check := range checks {
		word := "yes"
		if !check.Held {
			word = "NO"
			held = false
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", check.Promise, word, check.Detail)
	}
	_ = table.Flush()
	return held
}

// writeOutcomes writes the number of requests by outcome, reason and kind, and the
// latency percentiles.
func (r *Report) writeOutcomes(w io.Writer) {
	counts := make(map[string]map[RequestKind]int)
	for _, result := range r.Results {
		name := strings.TrimSpace(result.Outcome.String() + " " + string(result.Reason))
		if counts[name] == nil {
			counts[name] = make(map[RequestKind]int)
		}
		counts[name][result.Kind]++
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	r.writeRow(w, "OUTCOME", func(kind RequestKind) string { return strings.ToUpper(string(kind)) })
	for _, name := range names {
		r.writeRow(w, name, func(kind RequestKind) string { return fmt.Sprint(counts[name][kind]) })
	}
	for _, percentile := range []float64{50, 99} {
		r.writeRow(w, fmt.Sprintf("latency p%g", percentile), func(kind RequestKind) string {
			return r.latencyPercentile(kind, percentile).Round(10 * time.Microsecond).String()
		})
	}
}

// writeRow writes a table row with a name and one cell for each kind of request.
func (r *Report) writeRow(w io.Writer, name string, cell func(RequestKind) string) {
	fmt.Fprint(w, name)
	for _, kind := range requestKinds {
		fmt.Fprint(w, "\t", cell(kind))
	}
	fmt.Fprintln(w)
}

// maxLatency is the upper limit of the latency histogram. Longer latencies are left
// out.
const maxLatency = 2 * time.Minute

// latencyPercentile returns a percentile of the latencies of the requests of a kind
// whose outcome is done.
func (r *Report) latencyPercentile(kind RequestKind, percentile float64) time.Duration {
	histogram := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, result := range r.Results {
		if result.Kind == kind && result.Outcome == outcome.Done {
			_ = histogram.RecordValue(result.Latency.Microseconds())
		}
	}
	return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
}
