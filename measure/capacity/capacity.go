// Package capacity measures how the cost of each mechanism grows, and says what
// it comes to at the target size, beside the target.
package capacity

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/teaselstack/teaselstack/measure/slope"
)

// The target that a node's figures are held against.
const (
	// ChangesPerSecond is 81,000 changes of the configuration a day.
	ChangesPerSecond = 81_000.0 / 86_400
	// LookupsPerSecondPerNode is 7.5 million look-ups a second over 3,600 nodes.
	LookupsPerSecondPerNode = 7_500_000.0 / 3_600
	// ControlCPUShare is the part of a core for control.
	ControlCPUShare = 0.012
	// ControlMemoryBytes is the memory for control, in bytes.
	ControlMemoryBytes = 32e6
	// ControlBytesPerSecond is the traffic of control, in bytes a second.
	ControlBytesPerSecond = 15e3
	// StoreWritesPerSecond and StoreReads are what the platform's table takes, a second.
	StoreWritesPerSecond = 300.0
	StoreReadsPerSecond  = 2_000.0
)

// Row is one line of the table: a quantity at growing sizes.
type Row struct {
	Quantity string
	Unit     string
	// SizeUnit names what the sizes count.
	SizeUnit string
	Points   []slope.Point
	// TargetSize is the size in question.
	TargetSize float64
	// Bound is the most the value may be there; 0 where the target states none.
	Bound float64
	// Derived marks points that are products of measured figures.
	Derived bool
	// Note says how the points are worked out, or what they assume.
	Note string
}

// TargetValue returns the value at the target, and whether it was measured there.
func (r Row) TargetValue() (float64, bool) {
	value, measured := slope.Extrapolate(r.Points, r.TargetSize)
	return value, measured && !r.Derived
}

// Verdict returns met, missed, or a dash where the target states no bound.
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

// WriteTable prints rows as a Markdown table.
func WriteTable(w io.Writer, rows []Row) error {
	var text strings.Builder
	text.WriteString("| quantity | measured at | exponent | at the target | bound | verdict |\n|---|---|---|---|---|---|\n")
	for _, row := range rows {
		value, measured := row.TargetValue()
		how := "worked out"
		if measured {
			how = "measured"
		}
		bound := "-"
		if row.Bound != 0 {
			bound = formatNumber(row.Bound) + " " + row.Unit
		}
		fmt.Fprintf(&text, "| %s | %s | %.2f | %s %s, %s | %s | %s |\n", row.title(), row.points(),
			slope.Fit(row.Points).Exponent, formatNumber(value), row.Unit, how, bound, row.Verdict())
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (r Row) title() string {
	if r.Note == "" {
		return r.Quantity
	}
	return r.Quantity + " (" + r.Note + ")"
}

func (r Row) points() string {
	parts := make([]string, 0, len(r.Points))
	for _, point := range r.Points {
		parts = append(parts, formatNumber(point.Size)+": "+formatNumber(point.Value))
	}
	return strings.Join(parts, ", ") + " " + r.Unit + " by " + r.SizeUnit
}

// formatNumber prints three significant digits, with thousands separated.
func formatNumber(value float64) string {
	if value >= 1000 {
		return groupThousands(int64(value + 0.5))
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

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
