// Package outcome gives each request one of three ends, as a value from the
// first byte to the caller's header.
package outcome

import "net/http"

// Kind is what became of a request. The zero value is Unknown, the only one
// that promises nothing.
type Kind uint8

// The three ends of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Kind = iota
	// NotRun means that no backend server ran the request or will run it.
	NotRun
	// Done means that the answer is the backend server's own, whole.
	Done
)

// String returns the kind's name as it stands in the caller's header.
func (k Kind) String() string {
	switch k {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	}
	return "unknown"
}

// ParseKind reads a kind's name; any other text is Unknown.
func ParseKind(name string) Kind {
	switch name {
	case "done":
		return Done
	case "not-run":
		return NotRun
	}
	return Unknown
}

// Outcome is the end of a request with its reason.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Status is the HTTP status that the caller is answered with; 0 takes the
	// reason's own.
	Status int
	// Detail tells a person more.
	Detail string
}

// Reason says why a request ended as it did.
type Reason string

// Reasons of outcomes other than done.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonKeyMissing       Reason = "key-missing"
	ReasonKeyReused        Reason = "key-reused"
	ReasonKeyExpired       Reason = "key-expired"
	ReasonKeyForged        Reason = "key-forged"
	ReasonKeysFull         Reason = "keys-full"
	ReasonClaimantGone     Reason = "claimant-gone"
	ReasonStoreUnreachable Reason = "store-unreachable"
	ReasonStoreBusy        Reason = "store-busy"
	ReasonNoRoom           Reason = "no-room"
	ReasonNoBackendServer  Reason = "no-backend-server"
	ReasonNoConfiguration  Reason = "no-configuration"
	ReasonStopping         Reason = "stopping"
	ReasonDeadline         Reason = "deadline"
	ReasonCanceled         Reason = "canceled"
	ReasonShed             Reason = "shed"
	ReasonServerFailed     Reason = "server-failed"
	ReasonServerFull       Reason = "server-full"
	ReasonServerLeaving    Reason = "server-leaving"
	ReasonNoRoute          Reason = "no-route"
	ReasonServerReplaced   Reason = "server-replaced"
	ReasonConnectFailed    Reason = "connect"
	ReasonConnectionBroken Reason = "connection-broken"
	ReasonBodyBroken       Reason = "body-broken"
	ReasonUnframedAnswer   Reason = "unframed-answer"
	ReasonShortAnswer      Reason = "short-answer"
	ReasonCrossedAnswer    Reason = "crossed-answer"
	ReasonPeerLost         Reason = "peer-lost"
	ReasonQuarantined      Reason = "quarantined"
	ReasonLinkFull         Reason = "link-full"
	ReasonIssuerGone       Reason = "issuer-gone"
	ReasonRunning          Reason = "running"
	// ReasonAnswerNotRemembered goes with done: the key's request ran and was
	// answered with the given status; the answer itself is remembered no more.
	ReasonAnswerNotRemembered Reason = "answer-not-remembered"
)

// HTTPStatus returns the status that the caller is answered with.
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

// beforeDispatch reports whether the reason is that of an entry which refused
// a request without sending it on. Under a key that was sent before, that
// leaves open what became of the earlier request.
func (r Reason) beforeDispatch() bool {
	switch r {
	case ReasonStoreUnreachable, ReasonStoreBusy, ReasonKeysFull, ReasonStopping, ReasonNoConfiguration:
		return true
	}
	return false
}
