package routing

// Statement is what a backend server states about itself in the header of a response.
type Statement struct {
	// Limited reports whether the server states a limit on the rate of requests.
	Limited bool
	// LimitUnknown reports whether the server states a limit that can't be decoded.
	LimitUnknown bool
	// RequestLimit is the limit, in requests per second of all entries together.
	RequestLimit float64
	// Leaving reports whether the server is shutting down and must get no new request.
	Leaving bool
}
