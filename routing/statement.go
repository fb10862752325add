package routing

import "time"

// Statement is what a backend server states about itself in the header of a response.
type Statement struct {
	// Limited reports whether the server states a limit on the rate of requests.
	Limited bool
	// LimitUnknown reports whether the response leaves open whether there is a limit, for
	// instance because the value can't be decoded.
	LimitUnknown bool
	// RequestLimit is the limit, in requests per second of all entries together.
	RequestLimit float64
	// Leaving reports whether the server is shutting down and must get no new request.
	Leaving bool
	// Wait is how long the server wants no request from this entry, because it refused one;
	// 0 if it states nothing of the kind.
	Wait time.Duration
}

// Health is the response of a backend server to a health check.
type Health struct {
	// ServerID is the ID of the server that responded; "" if the response doesn't name one.
	ServerID string
	// ColdKnown reports whether the response says how much longer the server is cold, and ColdLeft
	// is that time.
	ColdKnown bool
	ColdLeft  time.Duration
}
