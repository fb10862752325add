package routing

// Statement is what a backend server states about itself in the header of a response.
type Statement struct {
	// Limited reports whether the server states a limit on the rate of requests.
	Limited bool
	// RequestLimit is the limit, in requests per second of all entries together.
	RequestLimit float64
}
