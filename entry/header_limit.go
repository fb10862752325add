package main

import (
	"net/http"

	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
)

// headerReadFactor is the factor by which net/http's header limit exceeds the limit of
// limitHeaderBytes, so that most requests with oversized headers are refused with an
// outcome, not only with the status that net/http sends.
const headerReadFactor = 4

// limitHeaderBytes returns a handler that refuses requests whose URI, host and headers
// together exceed limit bytes, and passes others to next.
func limitHeaderBytes(limit int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(r.RequestURI) + len(r.Host)
		for name, values := range r.Header {
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
		if size > limit {
			w.Header().Set(header.Outcome, outcome.NotRun.String())
			w.Header().Set(header.Reason, string(outcome.ReasonBadRequest))
			w.Header().Set("Connection", "close")
			http.Error(w, "not-run: bad-request: the header is too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}
