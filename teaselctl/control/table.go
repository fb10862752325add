package control

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/timeline"
)

// WriteJSON prints a value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
}

// WriteStatus prints a table of the entries, and a table with a line for each backend
// server and each entry that has a seat at it; see slot.Seats. A server usually has two
// lines, those of its home and its deputy.
func WriteStatus(w io.Writer, statuses []EntryStatus) {
	table := newTable(w)
	fmt.Fprintln(table, "ENTRY\tFAILURE DOMAIN\tVERSION\tREADY\tSTOPPING\tPLATFORM\tUP\tMEMBERS")
	for _, entry := range statuses {
		if entry.Status == nil {
			fmt.Fprintf(table, "%s\tno answer: %s\n", entry.Address, entry.Problem)
			continue
		}
		status := entry.Status
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%t\t%t\t%s\t%s\n",
			status.GetEntry(), status.GetFailureDomain(), status.GetConfigurationVersion(),
			status.GetReady(), status.GetStopping(), status.GetPlatformReachable(),
			status.GetUptime().AsDuration().Round(time.Second), memberSummary(status.GetMembers()))
	}
	_ = table.Flush()
	fmt.Fprintln(w)
	fmt.Fprintln(table, "BACKEND SERVER\tSERVICE\tENTRY\tROLE\tSLOTS\tUSABLE\tIN FLIGHT\tREQUESTS\tDRAINING\tLAST START")
	for _, entry := range statuses {
		for _, server := range entry.Status.GetServers() {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%t\t%s\n",
				server.GetServer(), server.GetService(), entry.Status.GetEntry(), server.GetRole(),
				server.GetSlots(), server.GetUsable(), server.GetInFlight(), server.GetRequests(),
				server.GetDraining(), lastStart(server))
		}
	}
	_ = table.Flush()
}

// memberSummary formats the number of members in each state.
func memberSummary(members []*teaselv1.MemberStatus) string {
	counts := make(map[string]int)
	for _, member := range members {
		counts[member.GetState()]++
	}
	var parts []string
	for _, state := range []string{"alive", "suspect", "dead", "cut"} {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return strings.Join(parts, ", ")
}

// lastStart formats the UTC time at which the entry last started a request on the
// server, or returns "-" if it has started none.
func lastStart(server *teaselv1.ServerStatus) string {
	if server.GetLastStart() == nil {
		return "-"
	}
	return server.GetLastStart().AsTime().Format(time.TimeOnly)
}

// WriteExplanation prints the answer of a look-up, the decision, and the cost
// terms of each candidate home.
func WriteExplanation(w io.Writer, explanation *teaselv1.ExplainResponse) {
	fmt.Fprintf(w, "region:   %s\nreason:   %s\nentries:  %s\ndecision: %s\n\n",
		explanation.GetLookup().GetRegion(), explanation.GetLookup().GetReason(),
		strings.Join(explanation.GetLookup().GetEntries(), ", "), explanation.GetDecision())
	table := newTable(w)
	fmt.Fprintln(table, "HOME\tREGION\tALLOWED\tCOST\tTERMS (VALUE x WEIGHT)")
	for _, candidate := range explanation.GetCandidates() {
		var terms []string
		for _, term := range candidate.GetTerms() {
			terms = append(terms, fmt.Sprintf("%s %.3g x %.3g", term.GetName(), term.GetValue(), term.GetWeight()))
		}
		allowed := "yes"
		if !candidate.GetAllowed() {
			allowed = "no: " + candidate.GetReason()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4f\t%s\n",
			candidate.GetHome(), candidate.GetRegion(), allowed, candidate.GetCost(), strings.Join(terms, ", "))
	}
	_ = table.Flush()
}

// WriteTimeline prints one line for each event.
func WriteTimeline(w io.Writer, events []timeline.Event) {
	table := newTable(w)
	for _, event := range events {
		fmt.Fprintf(table, "%s+%d\t%s\t%s\t%s\n",
			time.Unix(0, event.Time.Wall).UTC().Format("15:04:05.000000"), event.Time.Logical,
			event.Entry, event.Kind, eventFields(event))
	}
	_ = table.Flush()
}

// eventFields formats those fields of an event for which WriteTimeline has no column as
// name=value pairs, without the empty ones.
func eventFields(event timeline.Event) string {
	var fields []string
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, name+"="+value)
		}
	}
	add("service", event.Service)
	add("backend-server", event.Server)
	add("key", event.Key)
	if event.Version > 0 {
		add("version", fmt.Sprint(event.Version))
	}
	add("detail", strings.TrimSpace(event.Detail))
	return strings.Join(fields, " ")
}
