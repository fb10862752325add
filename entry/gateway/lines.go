package gateway

import (
	"math"
	"time"

	"github.com/phuslu/log"

	"github.com/teaselstack/teaselstack/entry/placement"
)

// line begins a log line on a request that goes well so far.
func (g *Gateway) line(req *request, event string) *log.Entry {
	return g.Logger.Info().Str("event", event).Str("id", req.id)
}

// lost begins a log line on a request that has lost a try. Its level makes it
// outlast others where lines have to be dropped.
func (g *Gateway) lost(req *request, event string) *log.Entry {
	return g.Logger.Warn().Str("event", event).Str("id", req.id)
}

// decision adds what a request's placement or refusal was decided by: its route
// with the configuration's version, the server with its registration, and the
// loads with their age. The choice may be nil.
func (g *Gateway) decision(line *log.Entry, req *request, choice *placement.Choice) *log.Entry {
	line = line.Uint64("version", req.version)
	if req.route == nil {
		return line
	}
	line = line.Str("route", req.route.Name).Str("service", req.service).Uint64("object", req.object>>objectShift).
		Int("sends", req.sends).Int64("left-ms", time.Until(req.limit).Milliseconds())
	if age, known := g.RegistrationsAge(); known {
		line = line.Int64("registrations-age-ms", age.Milliseconds())
	}
	if choice == nil {
		return line
	}
	line = line.Float64("congestion", rounded(choice.Congestion))
	if choice.Server.ID == "" {
		return line
	}
	line = line.Str("server", choice.Server.ID).Uint64("registration", choice.Server.RowVersion).
		Int64("registration-age-ms", choice.RegistrationAge.Milliseconds()).Int("rank", choice.Rank).
		Float64("load", rounded(choice.Load)).Int("slots", choice.Server.Slots).Int64("load-age-ms", choice.LoadAge.Milliseconds()).
		Int64("expected-ms", choice.ExpectedLatency.Milliseconds())
	if choice.Cold {
		line = line.Bool("cold", true)
	}
	if choice.Slowdown > 1 {
		line = line.Float64("pace", rounded(choice.Slowdown))
	}
	return line
}

// objectShift leaves enough of an object's hash to tell objects apart in a log.
const objectShift = 40

// rounded keeps two digits behind the point.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }
