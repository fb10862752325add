// Package capacity measures how the cost of each mechanism scales with the size of
// a deployment, and compares the cost at the target size with its bound.
package capacity

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/teaselstack/teaselstack/measure/slope"
)

// The bounds and rates at the target size. A node is an entry VM.
const (
	// ChangesPerSecond is the rate of configuration changes of the whole
	// deployment: 81,000 a day.
	ChangesPerSecond = 81_000.0 / 86_400
	// LookupsPerSecondPerNode is the rate of look-ups at one node: 7.5 million a
	// second over 3,600 nodes.
	LookupsPerSecondPerNode = 7_500_000.0 / 3_600
	// ControlCPUShare is the fraction of a core available to the control plane of a
	// node.
	ControlCPUShare = 0.012
	// ControlMemoryBytes is the memory available to the control plane of a node.
	ControlMemoryBytes = 32e6
	// ControlBytesPerSecond is the bandwidth available to the control plane of a
	// node.
	ControlBytesPerSecond = 15e3
	// StoreWritesPerSecond and StoreReadsPerSecond are the capacity of the
	// platform's table, which all nodes share. A transaction counts as one write, a
	// scan as one read.
	StoreWritesPerSecond = 300.0
	StoreReadsPerSecond  = 2_000.0
)

// Row is one row of a table: the values of a quantity at several sizes.
type Row struct {
	// Quantity says what was measured or calculated, and Unit is the unit of the values.
	// Unit is empty for a plain number.
	Quantity string
	Unit     string
	// SizeUnit names what the sizes of the points count, such as nodes.
	SizeUnit string
	// Points are in ascending order of their sizes.
	Points []slope.Point
	// TargetSize is the size at which the value is compared with Bound.
	TargetSize float64
	// Bound is the maximum value at TargetSize; 0 means that there is none.
	Bound float64
	// Derived is set if the points are calculated rather than measured.
	Derived bool
	// Note says how the points are calculated, or what they assume.
	Note string
}

// TargetValue returns the value at TargetSize and whether it was measured there
// rather than extrapolated or calculated.
func (r Row) TargetValue() (float64, bool) {
	value, measured := slope.Extrapolate(r.Points, r.TargetSize)
	return value, measured && !r.Derived
}

// Verdict returns "met" or "missed", or "-" if there is no bound.
func (r Row) Verdict() string {
	value, _ := r.TargetValue()
	switch {
	case r.Bound == 0:
		return "-"
	case value <= r.Bound:
		return "met"
	}
	return "missed"
}

// WriteTable prints rows as a Markdown table, with the exponent of the power law
// fitted to the points of each row.
func WriteTable(w io.Writer, rows []Row) error {
	var text strings.Builder
	text.WriteString("| quantity | measured at | exponent | at the target | bound | verdict |\n|---|---|---|---|---|---|\n")
	for _, row := range rows {
		value, measured := row.TargetValue()
		origin := "worked out"
		if measured {
			origin = "measured"
		}
		bound := "-"
		if row.Bound != 0 {
			bound = formatNumber(row.Bound) + " " + row.Unit
		}
		fmt.Fprintf(&text, "| %s | %s | %.2f | %s %s, %s | %s | %s |\n", row.quantityWithNote(), row.formatPoints(),
			slope.Fit(row.Points).Exponent, formatNumber(value), row.Unit, origin, bound, row.Verdict())
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// quantityWithNote returns the quantity with the note, if any, in parentheses.
func (r Row) quantityWithNote() string {
	if r.Note == "" {
		return r.Quantity
	}
	return r.Quantity + " (" + r.Note + ")"
}

// formatPoints formats the points as a list of "size: value" pairs, followed by the
// units of both.
func (r Row) formatPoints() string {
	parts := make([]string, 0, len(r.Points))
	for _, point := range r.Points {
		parts = append(parts, formatNumber(point.Size)+": "+formatNumber(point.Value))
	}
	return strings.Join(parts, ", ") + " " + r.Unit + " by " + r.SizeUnit
}

// formatNumber formats a value with at most three significant digits, or from 1000 on
// as a whole number with thousands separators.
func formatNumber(value float64) string {
	if value >= 1000 {
		return groupThousands(int64(value + 0.5))
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

// groupThousands formats a value that is not negative with thousands separators.
func groupThousands(value int64) string {
	digits := strconv.FormatInt(value, 10)
	var text strings.Builder
	for i, digit := range digits {
		if i > 0 && (len(digits)-i)%3 == 0 {
			text.WriteByte(',')
		}
		text.WriteRune(digit)
	}
	return text.String()
}
