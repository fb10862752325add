// Package header defines the names of the HTTP headers of requests and responses.
// Headers with InternalPrefix are exchanged only among the system's own processes;
// they are removed from the messages of callers and backend servers.
package header

import (
	"net/http"
	"strings"
)

// Headers of messages to and from callers and backend servers.
const (
	// IdempotencyKey contains the idempotency key that the caller chose, or a ticket
	// that an entry issued.
	IdempotencyKey = "Idempotency-Key"
	// FirstSend is "true" in a request whose idempotency key the caller has not sent
	// before, to any entry or over any connection. If an entry fails to claim the
	// key, only this header lets it answer that the request did not run.
	FirstSend = "Teasel-First-Send"
	// Service is the name of the service. Without this header, the name is the first
	// label of the host name.
	Service = "Teasel-Service"
	// TimeoutMS is how long the caller waits for the response, in milliseconds.
	TimeoutMS = "Teasel-Timeout-Ms"
	// Outcome is the name of an outcome.Kind: done, not-run or unknown.
	Outcome = "Teasel-Outcome"
	// Reason is the outcome.Reason for the outcome.
	Reason = "Teasel-Reason"
	// RequestID identifies the request. A backend server may return it in the response;
	// a response with another ID is rejected.
	RequestID = "Teasel-Request-Id"
	// RetryAt is set in the responses of an entry that is shutting down and refuses
	// requests. It is the address of another entry to which the caller can send them, or
	// empty if there is none.
	RetryAt = "Teasel-Retry-At"
	// Replayed is set in the response to a request whose idempotency key could not be
	// claimed: the stored response to an earlier request with the same key, or the
	// reason why the claim failed.
	Replayed = "Teasel-Replayed"
	// Shed is set in the response of a backend server that refused a request without
	// executing it.
	Shed = "Teasel-Shed"
	// Load is the number of requests in flight at the backend server, as counted by
	// the server.
	Load = "Teasel-Load"
)

// InternalPrefix is the prefix of all headers that only the system's own processes
// exchange.
const InternalPrefix = "Teasel-Internal-"

// Headers between entries.
const (
	// InternalKey authenticates the sending entry to the receiving one.
	InternalKey = InternalPrefix + "Key"
	// InternalServer is used for two purposes. In a request, it is the role in which
	// the receiver is to serve the request; package dispatch defines the values. In a
	// response of the receiver that is not a backend server's, it is the name of the
	// backend server that was tried.
	InternalServer = InternalPrefix + "Server"
	// InternalImmediate is set in a request that the receiver must refuse rather than
	// queue if no slot is free.
	InternalImmediate = InternalPrefix + "Immediate"
	// InternalExclude is the comma-separated list of backend servers that have
	// already failed to serve the request.
	InternalExclude = InternalPrefix + "Exclude"
	// InternalHops is the number of entries that have relayed the request.
	InternalHops = InternalPrefix + "Hops"
	// InternalRegion is the region of the entry that received the request from the
	// caller.
	InternalRegion = InternalPrefix + "Region"
	// InternalCaller is the address of the caller.
	InternalCaller = InternalPrefix + "Caller"
	// InternalClaimed means that the sender has claimed the idempotency key. Its
	// value is the hexadecimal digest of the request.
	InternalClaimed = InternalPrefix + "Claimed"
)

// StripEntry removes the headers that only entries set in responses to callers.
func StripEntry(headers http.Header) {
	for _, name := range []string{Outcome, Reason, RetryAt, Replayed} {
		headers.Del(name)
	}
}

// hopByHopHeaders are the hop-by-hop headers according to RFC 9110 section 7.6.1 and
// its predecessor, RFC 2616 section 13.5.1.
var hopByHopHeaders = []string{
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

// StripInternal removes all headers with InternalPrefix.
func StripInternal(headers http.Header) {
	for name := range headers {
		if strings.HasPrefix(name, InternalPrefix) {
			delete(headers, name)
		}
	}
}

// StripHopByHop removes the hop-by-hop headers, including those that the Connection
// header lists.
func StripHopByHop(headers http.Header) {
	for _, line := range headers["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			headers.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		headers.Del(name)
	}
}

// Names contains the names of the headers that a platform's callers and backend
// servers use.
type Names struct {
	// RequestID identifies one attempt of a caller at a request; a repetition has
	// another ID. The backend server returns the ID in the response.
	RequestID string
	// DeadlineMS is how long the sender waits for the response, in milliseconds.
	DeadlineMS string
	// ObjectCookie is the name of a cookie, not of a header. Its value identifies the
	// object that the request is about.
	ObjectCookie string
	// ResponseStamp is set by the backend server in each response to a request that it
	// executed. A success without it counts as the response of another process.
	ResponseStamp string
	// TargetServer is the ID of the only backend server that may execute the request.
	TargetServer string
	// Load contains the numbers of running requests, waiting requests and slots of
	// the backend server.
	Load string
	// NotExecuted is set in the response to a request that was not executed.
	NotExecuted string
	// InstanceID is the ID of the backend server, in responses to probes.
	InstanceID string
	// ColdMS is how much longer the backend server is cold, in milliseconds, in
	// responses to probes.
	ColdMS string
}
