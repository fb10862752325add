package main

import (
	"net/http"

	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
)

// headerSlack is how many times the limit net/http reads of a header, so that
// most oversized ones are refused with an outcome rather than a bare status.
const headerSlack = 4

// bounded refuses requests whose header is longer than a number of bytes.
func bounded(limit int, next http.Handler) http.Handler {
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
