// Package header names the HTTP headers of requests and answers. Those that
// begin with Internal are for the system's own processes; they are stripped
// from what callers and backend servers send.
package header

import (
	"net/http"
	"strings"
)

// Headers that callers and backend servers see.
const (
	// IdempotencyKey carries a caller's key or a ticket of an entry.
	IdempotencyKey = "Idempotency-Key"
	// FirstSend is "true" on a request whose key the caller has never sent
	// before, by any entry or connection. Only then can an entry that doesn't
	// get as far as the key's claim say that the request did not run.
	FirstSend = "Teasel-First-Send"
	// Service names the service; without it the Host header does.
	Service = "Teasel-Service"
	// TimeoutMS is how long the caller waits for its answer, in milliseconds.
	TimeoutMS = "Teasel-Timeout-Ms"
	// Outcome is done, not-run or unknown.
	Outcome = "Teasel-Outcome"
	// Reason says in a few words why the outcome is what it is.
	Reason = "Teasel-Reason"
	// RequestID is echoed by backend servers.
	RequestID = "Teasel-Request-Id"
	// RetryAt names another entry's address after a refusal.
	RetryAt = "Teasel-Retry-At"
	// Replayed is set on an answer from memory, given for a repeated key.
	Replayed = "Teasel-Replayed"
	// Shed is set by a backend server that refused a request before running it.
	Shed = "Teasel-Shed"
	// Load is a backend server's own count of requests in flight.
	Load = "Teasel-Load"
)

// InternalPrefix begins every header between the system's own processes.
const InternalPrefix = "Teasel-Internal-"

// Headers between entries.
const (
	// InternalKey authenticates an entry to another.
	InternalKey = InternalPrefix + "Key"
	// InternalServer names, in a request, what the receiver is asked to be: see
	// dispatch.ServePeer; in a refusal, the backend server that was tried.
	InternalServer = InternalPrefix + "Server"
	// InternalImmediate is set on a request that its home refuses rather than lets
	// wait for a slot.
	InternalImmediate = InternalPrefix + "Immediate"
	// InternalExclude lists the backend servers that failed the request already,
	// with commas between.
	InternalExclude = InternalPrefix + "Exclude"
	// InternalHops counts the entries that a request has passed.
	InternalHops = InternalPrefix + "Hops"
	// InternalRegion is the region of the entry that admitted the request.
	InternalRegion = InternalPrefix + "Region"
	// InternalCaller is the address of the caller.
	InternalCaller = InternalPrefix + "Caller"
	// InternalClaimed says that the sender has claimed the idempotency key.
	InternalClaimed = InternalPrefix + "Claimed"
)

// hopByHop lists the headers of RFC 9110 section 7.6.1 that end at each hop.
var hopByHop = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// StripInternal removes the headers between the system's own processes.
func StripInternal(headers http.Header) {
	for name := range headers {
		if strings.HasPrefix(name, InternalPrefix) {
			delete(headers, name)
		}
	}
}

// StripHopByHop removes the headers that end at each hop, those that the
// Connection header names included.
func StripHopByHop(headers http.Header) {
	for _, line := range headers["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			headers.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		headers.Del(name)
	}
}

// Names holds what the requests and answers of a platform's own callers and
// backend servers call their headers.
type Names struct {
	// RequestID identifies one attempt of a caller; backend servers echo it.
	RequestID string
	// DeadlineMS is how many milliseconds the sender will wait.
	DeadlineMS string
	// ObjectCookie names the cookie whose value identifies the object that a request
	// concerns.
	ObjectCookie string
	// ResponseStamp signs an answer as the backend server's own.
	ResponseStamp string
	// TargetServer names the only backend server that may run the request.
	TargetServer string
	// Load holds a backend server's running requests, waiting requests and slots.
	Load string
	// NotExecuted is set on an answer to a request that did not run.
	NotExecuted string
	// InstanceID is the backend server's ID in answers to probes.
	InstanceID string
	// ColdMS is how much longer a backend server is cold, in answers to probes.
	ColdMS string
}
