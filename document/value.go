package document

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a non-negative duration, written like "1.5s" or "300ms".
type Duration time.Duration

// UnmarshalText parses a duration. It returns an error if the duration is negative.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration such as 300ms or 5s", text)
	}
	if value < 0 {
		return errors.Errorf("%q is negative", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText formats the duration as UnmarshalText parses it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// BitRate is the bandwidth of a link in bits per second, written like "4 Gbit/s".
type BitRate uint64

// Units of a BitRate.
const (
	BitPerSecond  BitRate = 1
	KbitPerSecond         = 1000 * BitPerSecond
	MbitPerSecond         = 1000 * KbitPerSecond
	GbitPerSecond         = 1000 * MbitPerSecond
)

// bitRateUnit is a unit in the text form of a BitRate.
type bitRateUnit struct {
	suffix string
	rate   BitRate
}

// bitRateUnits is ordered from the largest unit to the smallest, so that bit/s,
// which is a suffix of all others, is tried last.
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

// UnmarshalText parses a rate. It returns an error unless the rate is above 0.
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

// MarshalText formats the rate as UnmarshalText parses it. It formats a zero rate,
// which UnmarshalText rejects, as "0 bit/s".
func (r BitRate) MarshalText() ([]byte, error) {
	for _, unit := range bitRateUnits {
		if r >= unit.rate {
			value := float64(r) / float64(unit.rate)
			return []byte(strconv.FormatFloat(value, 'g', -1, 64) + " " + unit.suffix), nil
		}
	}
	return []byte("0 bit/s"), nil
}

// BytesPerSecond returns the rate in bytes per second.
func (r BitRate) BytesPerSecond() float64 {
	return float64(r) / 8
}
