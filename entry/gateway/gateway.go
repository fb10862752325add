// Package gateway is the reverse proxy of an entry. It matches a caller's request to a
// route, forwards it to a backend server, and retries it on another server where that
// is safe. The caller gets a server's response, or a refusal that says whether the
// request may have run. If a response breaks off after its beginning was forwarded, the
// caller's connection is aborted.
package gateway

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

// Gateway is an http.Handler that serves the requests of an entry's callers.
type Gateway struct {
	// HeaderNames holds the names of the platform's HTTP headers.
	HeaderNames header.Names
	// DecodeStatement decodes what a server states about itself in a response with a status and
	// a header. If it also returns an error, the rest of the statement holds.
	DecodeStatement func(status int, header http.Header) (routing.Statement, error)
	// Configuration returns the newest configuration, or nil if there is none yet.
	Configuration func() *routing.Configuration
	// Fleet chooses the server for each attempt.
	Fleet *placement.Fleet
	// Pool holds the connections to servers.
	Pool        *upstream.Pool
	RetryBudget *RetryBudget
	// Quarantine holds the requests that are suspected of crashing servers.
	Quarantine *quarantine.List
	// BeginTrial returns a trial if a quarantined request may run all the same, at one server, and
	// nil otherwise. EndTrial is called when the request has ended, with the number of servers that it was sent
	// to, and whether one of them may have run it. Without BeginTrial, none may.
	BeginTrial func(ctx context.Context, request quarantine.Request) (trial *quarantine.Trial)
	EndTrial   func(trial *quarantine.Trial, sends int, mayHaveRun bool)
	// RegistrationsAge returns the time since the servers' registrations were last read
	// from the store. known is false if they were never read.
	RegistrationsAge func() (age time.Duration, known bool)
	// ResponsesDue returns the time at which the entry's shutdown ends, once it takes further
	// requests only if they are certainly answered by then. Before, it returns the zero time.
	// If ResponsesDue is nil, all requests are taken.
	ResponsesDue func() time.Time
	// Ending ends when the requests in flight are given up because the process is about to end.
	// Each whose caller has got nothing of a server's response then gets an answer that says so.
	// It is never done if it is nil.
	Ending  context.Context
	Logger  *log.Logger
	Metrics metrics.Registry

	// inFlight counts the requests being served.
	inFlight atomic.Int64
	// statementWarnedAt is when the last line about a statement that can't be decoded was
	// logged, in nanoseconds of Unix time.
	statementWarnedAt atomic.Int64
	// longestTimeouts maps a route's name to an *atomic.Int64 with the longest timeout of
	// a request on the route, in nanoseconds. A request whose caller sent no timeout
	// counts with defaultCallerTimeout.
	longestTimeouts sync.Map
}

// defaultCallerTimeout is the assumed timeout of a caller that sends none.
const defaultCallerTimeout = 30 * time.Second

// proxyRequest is the state of a caller's request while it is being served.
type proxyRequest struct {
	incoming *http.Request
	route    *routing.Route
	// configVersion is the version of the configuration that the request was matched
	// against.
	configVersion uint64
	service       string
	id            string
	// objectHash identifies the object that the request concerns, for placement.
	objectHash uint64
	// identity identifies the request for the quarantine.
	identity quarantine.Request
	// trial is set if the request runs although it is quarantined, see BeginTrial.
	trial   *quarantine.Trial
	arrival time.Time
	// callerDeadline is when the caller stops waiting. responseDeadline is when the
	// response is due: at callerDeadline, or earlier if the route's timeout expires
	// first. The route's timeout starts at arrival, and again once the body has been
	// read if it then still expires before callerDeadline.
	callerDeadline   time.Time
	responseDeadline time.Time
	body             *requestBody
	// maxBodyBytes is the largest body allowed; 0 means no limit.
	maxBodyBytes int64
	// callerRetry reports whether the caller probably repeats a request that was
	// refused, see isCallerRetry.
	callerRetry    bool
	triedServerIDs []string
	// sentAttempts is the number of attempts that reached a server or may have.
	// unsentAttempts is the number of attempts of which nothing was sent: there was no
	// connection, the server had become ineligible, or the quarantine did not admit the
	// request.
	sentAttempts   int
	unsentAttempts int
	// mayHaveRun reports whether a server may have run the request.
	mayHaveRun bool
	// failureReason is why there is no usable response so far. A refusal sends it to the
	// caller.
	failureReason outcome.Reason
	// fallback is the last attempt with a server's error response, nil if there is none.
	// The caller gets that response if no later attempt yields one to forward.
	fallback *attempt
	// detachEnding keeps Ending from giving the request up. It is nil if Ending is.
	detachEnding func() bool
	// bestCandidate is the choice that placement returned with a refusal. It describes
	// the best server at that time, see [placement.Fleet.Choose]. It is nil if placement
	// has not refused the request.
	bestCandidate *placement.Choice
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler, which closes
// the caller's connection, if the caller leaves while attempts are made, or if
// forwarding a response fails after the part that was buffered.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	req, refused := g.newRequest(incoming)
	if refused != nil {
		g.refuse(w, req, *refused)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), req.responseDeadline.Add(responseGrace))
	defer cancel()
	if g.Ending != nil {
		req.detachEnding = context.AfterFunc(g.Ending, cancel)
		defer req.detachEnding()
	}
	// A caller that has sent no whole body by its own deadline has left.
	if err := http.NewResponseController(w).SetReadDeadline(req.callerDeadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		g.warnLine(req, "deadline-unset").Err(err).Msg("")
	}
	if refused := g.readBody(req); refused != nil {
		g.refuse(w, req, *refused)
		return
	}
	defer g.releaseBody(req)
	g.forward(ctx, w, req)
}

// newRequest checks a caller's request against the limits, matches it to a route and
// sets its deadlines. If it also returns a refusal, the request is only partly filled
// in: the route and the service may be missing.
func (g *Gateway) newRequest(incoming *http.Request) (*proxyRequest, *refusal) {
	req := &proxyRequest{
		incoming: incoming,
		id:       incoming.Header.Get(g.HeaderNames.RequestID),
		arrival:  time.Now(),
	}
	req.callerDeadline = req.arrival.Add(defaultCallerTimeout)
	if value, err := strconv.ParseInt(incoming.Header.Get(g.HeaderNames.DeadlineMS), 10, 32); err == nil && value >= 0 {
		req.callerDeadline = req.arrival.Add(time.Duration(value) * time.Millisecond)
	}
	req.responseDeadline = req.callerDeadline
	conf := g.Configuration()
	if conf == nil {
		return req, notRunRefusal(outcome.ReasonNoConfiguration, startupRetryAfter)
	}
	req.configVersion = conf.Version
	if refused := checkLimits(incoming, conf.Limits); refused != nil {
		return req, refused
	}
	req.maxBodyBytes = conf.Limits.MaxBodyBytes
	req.route = conf.MatchRoute(incoming.Host, routing.Path(incoming))
	if req.route == nil {
		return req, &refusal{
			status: http.StatusNotFound,
			reason: outcome.ReasonNoRoute,
		}
	}
	if routeDeadline := req.arrival.Add(req.route.Timeout); req.route.Timeout > 0 && routeDeadline.Before(req.responseDeadline) {
		req.responseDeadline = routeDeadline
	}
	req.setObjectHash(g.HeaderNames.ObjectCookie)
	req.setService()
	g.RetryBudget.CountRequest(req.service)
	return req, nil
}

// setObjectHash hashes the object that the named cookie identifies. If there are several
// such cookies, the last one counts. A request without the cookie counts as one for an
// object of its own, identified by the request's ID.
func (r *proxyRequest) setObjectHash(cookieName string) {
	object := r.id
	for _, cookie := range r.incoming.CookiesNamed(cookieName) {
		object = cookie.Value
	}
	r.objectHash = placement.ObjectHash(r.route.Name, object)
}

// setService picks one of the services among which the route splits its traffic. It
// hashes the request's ID, not its object, so that even the requests for a single object
// are split by the weights.
func (r *proxyRequest) setService() {
	hash := placement.ObjectHash("", r.id)
	// The upper 53 bits of the hash make a uniformly distributed number in [0, 1).
	r.service = r.route.PickService(float64(hash>>11) / (1 << 53))
}

// callerHost returns the caller's address without the port.
func (r *proxyRequest) callerHost() string {
	host, _, err := net.SplitHostPort(r.incoming.RemoteAddr)
	if err != nil {
		return r.incoming.RemoteAddr
	}
	return host
}

// idempotent reports whether the request may run more than once, as its route says.
func (r *proxyRequest) idempotent() bool { return r.route.Kind == routing.Idempotent }

// upstreamRequest builds the request that one attempt sends to a server.
func (g *Gateway) upstreamRequest(req *proxyRequest, server *routing.Server) *http.Request {
	out := &http.Request{
		Method: req.incoming.Method,
		URL: &url.URL{
			Opaque: routing.Target(req.incoming),
		},
		Host:          req.incoming.Host,
		Header:        req.incoming.Header.Clone(),
		ContentLength: req.body.length,
		Body:          req.body.newReader(),
	}
	header.StripHopByHop(out.Header)
	// http.Server answers the caller's Expect header itself when the body is first read.
	out.Header.Del("Expect")
	if out.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its default.
		out.Header["User-Agent"] = []string{""}
	}
	out.Header.Set(g.HeaderNames.TargetServer, server.ID)
	timeLeftMS := max(1, time.Until(req.responseDeadline).Milliseconds())
	out.Header.Set(g.HeaderNames.DeadlineMS, strconv.FormatInt(timeLeftMS, 10))
	return out
}

// parseLoadReport parses the value of a server's load header: the numbers of running
// requests, waiting requests and slots, separated by commas. It returns nil if the
// value is malformed.
func parseLoadReport(text string) *placement.LoadReport {
	running, rest, found := strings.Cut(text, ",")
	waiting, slots, foundSlots := strings.Cut(rest, ",")
	if !found || !foundSlots {
		return nil
	}
	var report placement.LoadReport
	for _, field := range []struct {
		text   string
		target *int
	}{
		{
			text:   running,
			target: &report.Running,
		},
		{
			text:   waiting,
			target: &report.Waiting,
		},
		{
			text:   slots,
			target: &report.Slots,
		},
	} {
		value, err := strconv.Atoi(strings.TrimSpace(field.text))
		if err != nil || value < 0 {
			return nil
		}
		*field.target = value
	}
	return &report
}
