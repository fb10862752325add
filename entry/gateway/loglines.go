package gateway

import (
	"math"
	"time"

	"github.com/phuslu/log"

	"github.com/teaselstack/teaselstack/entry/placement"
)

// infoLine begins a log line about an attempt that begins, or about a request that got a
// response without a server error.
func (g *Gateway) infoLine(req *proxyRequest, event string) *log.Entry {
	return g.Logger.Info().Str("event", event).Str("id", req.id)
}

// warnLine begins a log line about a request or an attempt that failed. Its level is
// higher than that of infoLine, because under load the log drops lines below the warning
// level first.
func (g *Gateway) warnLine(req *proxyRequest, event string) *log.Entry {
	return g.Logger.Warn().Str("event", event).Str("id", req.id)
}

// addDecision adds the data on which a placement or refusal was based: the version of
// the configuration, the route, the time left, and what is known of the chosen server,
// with the ages of its registration and load. The choice may be nil.
func (g *Gateway) addDecision(line *log.Entry, req *proxyRequest, choice *placement.Choice) *log.Entry {
	line = line.Uint64("version", req.configVersion)
	if req.route == nil {
		return line
	}
	line = line.Str("route", req.route.Name).Str("service", req.service).Uint64("object", req.objectHash>>loggedObjectShift).
		Int("sends", req.sentAttempts).Int64("left-ms", time.Until(req.responseDeadline).Milliseconds())
	if age, known := g.RegistrationsAge(); known {
		line = line.Int64("registrations-age-ms", age.Milliseconds())
	}
	if choice == nil {
		return line
	}
	line = line.Float64("congestion", roundToHundredth(choice.Congestion))
	if choice.Server.ID == "" {
		return line
	}
	line = line.Str("server", choice.Server.ID).Uint64("registration", choice.Server.RowVersion).
		Int64("registration-age-ms", choice.RegistrationAge.Milliseconds()).Int("rank", choice.Rank).
		Float64("load", roundToHundredth(choice.Load)).Int("slots", choice.Server.Slots).Int64("load-age-ms", choice.LoadAge.Milliseconds()).
		Int64("expected-ms", choice.ExpectedLatency.Milliseconds())
	if choice.Cold {
		line = line.Bool("cold", true)
	}
	if choice.Slowdown > 1 {
		line = line.Float64("pace", roundToHundredth(choice.Slowdown))
	}
	return line
}

// loggedObjectShift drops the low bits of an object's hash. The remaining 24 bits are
// enough to tell objects apart in a log.
const loggedObjectShift = 40

// roundToHundredth rounds a value to two decimal places.
func roundToHundredth(value float64) float64 { return math.Round(value*100) / 100 }
