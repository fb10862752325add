// Package outcome determines the outcome of each request: done, not run or
// unknown. The outcome is sent to the caller in a response header, so that the
// caller knows whether it may safely retry.
package outcome

import "net/http"

// Kind says whether a request was executed. The zero value is Unknown, which
// guarantees nothing to the caller.
type Kind uint8

// Kinds of outcomes.
const (
	// Unknown means that the request may or may not have been executed.
	Unknown Kind = iota
	// NotRun means that no backend server has executed the request or will do so.
	NotRun
	// Done means that a backend server executed the request and its response was
	// received in full.
	Done
)

// String returns the name of the kind in header.Outcome.
func (k Kind) String() string {
	switch k {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	}
	return "unknown"
}

// ParseKind returns the kind with the given name, and Unknown for any other text.
func ParseKind(name string) Kind {
	switch name {
	case "done":
		return Done
	case "not-run":
		return NotRun
	}
	return Unknown
}

// Outcome says whether a request was executed, and why it ended.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Status is the HTTP status of the answer; 0 means the default status for the kind
	// and reason. See HTTPStatus.
	Status int
	// Detail is additional text for human readers.
	Detail string
}

// Reason says why a request has its outcome. Its text is sent to the caller in
// header.Reason.
type Reason string

// Reasons. All but the last one belong to outcomes other than done.
const (
	// ReasonBadRequest: the request is malformed or exceeds a limit.
	ReasonBadRequest Reason = "bad-request"
	// ReasonUnknownService: the request names a service that is not configured.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonKeyMissing: the request is not idempotent and has no idempotency key.
	ReasonKeyMissing Reason = "key-missing"
	// ReasonKeyReused: the idempotency key was used before for a different request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonKeyExpired: the ticket is too old to be accepted.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyForged: the ticket was not issued by a look-up.
	ReasonKeyForged Reason = "key-forged"
	// ReasonKeysFull: the entry remembers the maximum number of idempotency keys.
	ReasonKeysFull Reason = "keys-full"
	// ReasonClaimantGone: the entry that claimed the idempotency key for an earlier
	// request can't tell the outcome of that request.
	ReasonClaimantGone Reason = "claimant-gone"
	// ReasonStoreUnreachable: the platform's store could not be reached to claim the
	// idempotency key.
	ReasonStoreUnreachable Reason = "store-unreachable"
	// ReasonStoreBusy: the idempotency key could not be claimed because of the load
	// on the store or of concurrent claims.
	ReasonStoreBusy Reason = "store-busy"
	// ReasonNoRoom: no backend server had a free slot in time, or those that had one
	// already ran another request that is suspected of breaking connections.
	ReasonNoRoom Reason = "no-room"
	// ReasonNoBackendServer: no usable backend server of the service is reachable.
	ReasonNoBackendServer Reason = "no-backend-server"
	// ReasonNoConfiguration: the entry has not loaded a configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonStopping: the entry is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonDeadline: the deadline of the request expired.
	ReasonDeadline Reason = "deadline"
	// ReasonCanceled: the request was canceled, for example because the caller
	// disconnected.
	ReasonCanceled Reason = "canceled"
	// ReasonShed: the backend server refused the request in order to shed load, or
	// although it reported a free slot.
	ReasonShed Reason = "shed"
	// ReasonServerFailed: the backend server responded to an idempotent request with a
	// 5xx status other than 504.
	ReasonServerFailed Reason = "server-failed"
	// ReasonUnconfirmedRefusal: the backend server responded with a status by which an entry says
	// that a request has not run, but did not state that.
	ReasonUnconfirmedRefusal Reason = "unconfirmed-refusal"
	// ReasonServerFull: the backend server refused the request. All its slots were in
	// use, or it did not report how many were.
	ReasonServerFull Reason = "server-full"
	// ReasonServerLeaving: the backend server may no longer get requests, for example
	// because it is draining.
	ReasonServerLeaving Reason = "server-leaving"
	// ReasonServerUnverified: the backend server may have started again, and there was no connection
	// to it from before.
	ReasonServerUnverified Reason = "server-unverified"
	// ReasonNoRoute: no route matches the host and path of the request.
	ReasonNoRoute Reason = "no-route"
	// ReasonServerReplaced: another server runs at the address of the backend server.
	ReasonServerReplaced Reason = "server-replaced"
	// ReasonConnectFailed: no connection to the backend server could be established.
	ReasonConnectFailed Reason = "connect"
	// ReasonConnectionBroken: the connection to the backend server broke before the
	// response was received.
	ReasonConnectionBroken Reason = "connection-broken"
	// ReasonBodyBroken: the body of the request could not be read from the caller.
	ReasonBodyBroken Reason = "body-broken"
	// ReasonUnframedAnswer: the response is not final, or has neither a length nor
	// chunked encoding, so that its end can't be told from a broken connection.
	ReasonUnframedAnswer Reason = "unframed-answer"
	// ReasonShortAnswer: the response ended before its announced length or last chunk.
	ReasonShortAnswer Reason = "short-answer"
	// ReasonCrossedAnswer: the response belongs to another request, or is taken to
	// because it has a Content-Encoding or lacks header.Names.ResponseStamp.
	ReasonCrossedAnswer Reason = "crossed-answer"
	// ReasonPeerLost: the entry that the request was relayed to can't be reached or
	// did not respond.
	ReasonPeerLost Reason = "peer-lost"
	// ReasonQuarantined: the request is quarantined because the connections to several
	// backend servers broke while they executed it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonLinkFull: the link to the other region has no capacity for the body of
	// the request before its deadline.
	ReasonLinkFull Reason = "link-full"
	// ReasonIssuerGone: the entry process that issued the ticket no longer exists or
	// can't be reached.
	ReasonIssuerGone Reason = "issuer-gone"
	// ReasonRunning: an earlier request with the same idempotency key is still
	// running.
	ReasonRunning Reason = "running"
	// ReasonAnswerNotRemembered: an earlier request with the same idempotency key is
	// done. Its status is known and sent again, but its response is not stored.
	ReasonAnswerNotRemembered Reason = "answer-not-remembered"
)

// HTTPStatus returns the HTTP status of the answer to a request for which there is no
// response of a backend server.
func (o Outcome) HTTPStatus() int {
	if o.Status != 0 {
		return o.Status
	}
	switch o.Reason {
	case ReasonBadRequest, ReasonKeyMissing, ReasonKeyForged, ReasonBodyBroken:
		return http.StatusBadRequest
	case ReasonUnknownService:
		return http.StatusNotFound
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonRunning:
		return http.StatusConflict
	}
	if o.Kind == Unknown && !o.Reason.beforeDispatch() {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// beforeDispatch reports whether an entry gives this reason only for a request that
// it refused without forwarding it. The outcome of such a request may still be
// unknown: an earlier request with the same idempotency key may have been executed.
func (r Reason) beforeDispatch() bool {
	switch r {
	case ReasonStoreUnreachable, ReasonStoreBusy, ReasonKeysFull, ReasonStopping, ReasonNoConfiguration:
		return true
	}
	return false
}
