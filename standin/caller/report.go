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

// Report compares what callers were told with what backend servers and links
// saw.
type Report struct {
	Results  []Result
	Backends backend.Report
	Links    []relay.LinkLoad
	// Drain is the planned leave during the load, if there was one.
	Drain *Drain
}

// Drain is one backend server's planned leave.
type Drain struct {
	Server string
	// RequestedAt is when the operator gave the command, Idle when it had ended.
	RequestedAt time.Time
	IdleAt      time.Time
}

// Check is one promise, and whether the run kept it.
type Check struct {
	Promise string
	Held    bool
	Detail  string
}

const (
	// maxLinkWait is how long a link may hold anything back before it counts as
	// overloaded.
	maxLinkWait = 100 * time.Millisecond
	// maxDrainWork is how long after a drain was asked a server may get new work.
	maxDrainWork = 3 * time.Second
)

// Checks returns the promises that hold under any faults, then those of links
// and of the drain, where the run had them.
func (r *Report) Checks() []Check {
	checks := []Check{
		r.count("each answer is the whole one to its request", func(result Result) bool { return result.ResponseMismatch }),
		r.count("each request that is not idempotent ran at most once", func(result Result) bool {
			return result.Kind != KindBrowse && r.Backends.RunsByTag[result.Tag] > 1
		}),
		r.count("each request that was told done ran", func(result Result) bool {
			return result.Outcome == outcome.Done && r.Backends.RunsByTag[result.Tag] == 0
		}),
		r.count("each request that was told not run never ran", func(result Result) bool {
			return result.Kind != KindBrowse && result.Outcome == outcome.NotRun && r.Backends.RunsByTag[result.Tag] > 0
		}),
		r.keysRunOnce(),
		{
			Promise: "no backend server got more requests than it has slots",
			Held:    r.Backends.OverSlots == 0,
			Detail:  fmt.Sprintf("%d above, of %d run", r.Backends.OverSlots, r.Backends.Requests),
		},
	}
	if len(r.Links) > 0 {
		checks = append(checks, r.linksKept())
	}
	if r.Drain != nil {
		checks = append(checks, r.drained())
	}
	return checks
}

// CheckAllDone is the promise of a run with room for all and planned work
// only: every request is done.
func (r *Report) CheckAllDone() Check {
	return r.count("planned work interrupted nobody", func(result Result) bool { return result.Outcome != outcome.Done })
}

// CheckAllGivenOutcome is the promise that every request got an outcome of an entry.
func (r *Report) CheckAllGivenOutcome() Check {
	return r.count("each request was given an outcome", func(result Result) bool { return result.Reason == ReasonNoAnswer })
}

// count is a promise that holds when no result breaks it.
func (r *Report) count(promise string, broken func(Result) bool) Check {
	count := 0
	first := ""
	for _, result := range r.Results {
		if !broken(result) {
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

func (r *Report) keysRunOnce() Check {
	broken := 0
	for _, runs := range r.Backends.RunsByKey {
		if runs > 1 {
			broken++
		}
	}
	return Check{
		Promise: "each idempotency key ran at most once",
		Held:    broken == 0,
		Detail:  fmt.Sprintf("%d not, of %d", broken, len(r.Backends.RunsByKey)),
	}
}

func (r *Report) linksKept() Check {
	var wait time.Duration
	peak := 0.0
	for _, load := range r.Links {
		wait = max(wait, load.LongestWait)
		peak = max(peak, float64(load.PeakBytes)/load.BytesPerSecond)
	}
	return Check{
		Promise: "no link was given more than its rate",
		Held:    wait <= maxLinkWait,
		Detail:  fmt.Sprintf("fullest second %.1f%% of the rate, longest wait %s", 100*peak, wait.Round(time.Microsecond)),
	}
}

func (r *Report) drained() Check {
	last := r.Backends.LastStart[r.Drain.Server]
	after := time.Duration(0)
	if last.After(r.Drain.RequestedAt) {
		after = last.Sub(r.Drain.RequestedAt)
	}
	return Check{
		Promise: "the drained backend server got no new work after 3s",
		Held:    !last.IsZero() && after <= maxDrainWork,
		Detail:  fmt.Sprintf("%s: last new work %s after the command", r.Drain.Server, after.Round(time.Millisecond)),
	}
}

// WriteReport prints outcomes, latencies and promises as tables, and reports whether
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
			return r.latency(kind, percentile).Round(10 * time.Microsecond).String()
		})
	}
}

func (r *Report) writeRow(w io.Writer, name string, cell func(RequestKind) string) {
	fmt.Fprint(w, name)
	for _, kind := range kinds {
		fmt.Fprint(w, "\t", cell(kind))
	}
	fmt.Fprintln(w)
}

// maxLatency is the longest latency recorded.
const maxLatency = 2 * time.Minute

// latency returns a percentile over the requests of a kind that were done.
func (r *Report) latency(kind RequestKind, percentile float64) time.Duration {
	histogram := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, result := range r.Results {
		if result.Kind == kind && result.Outcome == outcome.Done {
			_ = histogram.RecordValue(result.Latency.Microseconds())
		}
	}
	return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
}
