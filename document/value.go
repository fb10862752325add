package document

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a span of time written as "1.5s" or "300ms".
type Duration time.Duration

// UnmarshalText reads a span that must not be negative.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration such as 300ms or 5s", text)
	}
	if span < 0 {
		return errors.Errorf("%q is negative", text)
	}
	*d = Duration(span)
	return nil
}

// MarshalText writes the span the way UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// BitRate is a link's rate in bits a second, written as "4 Gbit/s".
type BitRate uint64

// Units of a BitRate.
const (
	BitPerSecond  BitRate = 1
	KbitPerSecond         = 1000 * BitPerSecond
	MbitPerSecond         = 1000 * KbitPerSecond
	GbitPerSecond         = 1000 * MbitPerSecond
)

type bitRateUnit struct {
	suffix string
	rate   BitRate
}

// bitRateUnits stands largest first, so that the plain unit is tried last.
var bitRateUnits = []bitRateUnit{
	{
		suffix: "Gbit/s",
		rate:   GbitPerSecond,
	},
	{
		suffix: "Mbit/s",
		rate:   MbitPerSecond,
	},
	{
		suffix: "kbit/s",
		rate:   KbitPerSecond,
	},
	{
		suffix: "bit/s",
		rate:   BitPerSecond,
	},
}

// UnmarshalText reads a rate above 0.
func (r *BitRate) UnmarshalText(text []byte) error {
	for _, unit := range bitRateUnits {
		number, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || value <= 0 {
			break
		}
		*r = BitRate(value * float64(unit.rate))
		return nil
	}
	return errors.Errorf("%q is no rate such as 280 Mbit/s or 4 Gbit/s", text)
}

// MarshalText writes the rate the way UnmarshalText reads it.
func (r BitRate) MarshalText() ([]byte, error) {
	for _, unit := range bitRateUnits {
		if r >= unit.rate {
			value := float64(r) / float64(unit.rate)
			return []byte(strconv.FormatFloat(value, 'g', -1, 64) + " " + unit.suffix), nil
		}
	}
	return []byte("0 bit/s"), nil
}

// BytesPerSecond returns the rate in bytes a second.
func (r BitRate) BytesPerSecond() float64 {
	return float64(r) / 8
}
