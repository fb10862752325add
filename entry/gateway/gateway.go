// Package gateway is the reverse proxy of an entry. It matches a caller's request to a
// route, forwards it to a backend server, and retries it on another server where that
// is safe. The caller gets either a server's complete response or a refusal, which
// says truthfully whether the request may have run.
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

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/placement"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/upstream"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/routing"
)

// Gateway is the HTTP handler for the callers of one entry.
type Gateway struct {
	// HeaderNames holds the names of the platform's HTTP headers.
	HeaderNames header.Names
	// Configuration returns the newest configuration, or nil if there is none yet.
	Configuration func() *routing.Configuration
	Fleet         *placement.Fleet
	Pool          *upstream.Pool
	RetryBudget   *RetryBudget
	Quarantine    *quarantine.List
	// RegistrationsAge returns the time since the servers' registrations were last read
	// from the store. known is false if they were never read.
	RegistrationsAge func() (age time.Duration, known bool)
	// ShuttingDown reports whether the entry is shutting down. Responses then
	// carry "Connection: close".
	ShuttingDown func() bool
	Logger       *log.Logger
	Metrics      metrics.Registry

	// inFlight counts the requests being served.
	inFlight atomic.Int64
	// bufferedBytes is the total size of the buffered request bodies.
	bufferedBytes atomic.Int64
	// longestTimeouts maps a route's name to an *atomic.Int64 with the longest timeout
	// that a caller has sent for the route, in nanoseconds.
	longestTimeouts sync.Map
}

// defaultCallerTimeout is the assumed timeout of a caller that sends none.
const defaultCallerTimeout = 30 * time.Second

// request is the state of a caller's request while it is being served.
type request struct {
	incoming *http.Request
	route    *routing.Route
	// configVersion is the version of the configuration that the request was matched
	// against.
	configVersion uint64
	service       string
	id            string
	// objectHash identifies the object that the request concerns, for placement.
	objectHash uint64
	// digest identifies the request for the quarantine.
	digest  quarantine.Digest
	arrival time.Time
	// callerDeadline is when the caller stops waiting. responseDeadline is when the
	// response is due: at callerDeadline, or earlier if the route's timeout ends first.
	callerDeadline   time.Time
	responseDeadline time.Time
	body             *requestBody
	// maxBodyBytes is the largest body allowed; 0 means no limit.
	maxBodyBytes int64
	// callerRetry reports whether the caller probably repeats a request that was
	// refused, see isCallerRetry.
	callerRetry    bool
	triedServerIDs []string
	// sends is the number of attempts that reached a server or may have. connectFailures
	// is the number of the others, for which there was no connection.
	sends           int
	connectFailures int
	// mayHaveRun reports whether a server may have run the request.
	mayHaveRun bool
	// failureReason is why the last attempt produced no usable response.
	failureReason outcome.Reason
	// fallback is the last attempt with a server's error response, which the caller
	// gets unless a retry succeeds; nil if there is none.
	fallback *attempt
	// refusedChoice is the choice that placement returned when it refused the request,
	// see [placement.Fleet.Choose]; nil if it has not refused it.
	refusedChoice *placement.Choice
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler, which closes
// the caller's connection, if the caller has left or if a server's response breaks off
// while it is being forwarded.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	StopHeaderTimeout(incoming.Context())
	if g.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	req, refusal := g.newRequest(incoming)
	if refusal != nil {
		g.refuse(w, req, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), req.responseDeadline.Add(responseGrace))
	defer cancel()
	if refusal := g.readBody(req); refusal != nil {
		g.refuse(w, req, *refusal)
		return
	}
	defer g.releaseBody(req)
	g.forward(ctx, w, req)
}

// newRequest checks a caller's request against the limits, matches it to a route and
// sets its deadlines. If it returns a refusal, the fields of the request that come after
// the failed check are not set.
func (g *Gateway) newRequest(incoming *http.Request) (*request, *refusal) {
	req := &request{
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
	if refusal := checkLimits(incoming, conf.Limits); refusal != nil {
		return req, refusal
	}
	req.maxBodyBytes = conf.Limits.MaxBodyBytes
	req.route = conf.MatchRoute(incoming.Host, incoming.URL.Path)
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

// setObjectHash hashes the object that the named cookie identifies. A request without
// the cookie counts as one for an object of its own, identified by the request's ID.
func (r *request) setObjectHash(cookie string) {
	object := r.id
	for _, each := range r.incoming.CookiesNamed(cookie) {
		object = each.Value
	}
	r.objectHash = placement.ObjectHash(r.route.Name, object)
}

// setService picks one of the services among which the route splits its traffic. It
// hashes the request's ID rather than its object, so that the requests for each object
// are split by the weights as well.
func (r *request) setService() {
	hash := placement.ObjectHash("", r.id)
	r.service = r.route.PickService(float64(hash>>11) / (1 << 53))
}

// callerHost returns the caller's address without the port.
func (r *request) callerHost() string {
	host, _, err := net.SplitHostPort(r.incoming.RemoteAddr)
	if err != nil {
		return r.incoming.RemoteAddr
	}
	return host
}

// idempotent reports whether the request may run more than once, as its route says.
func (r *request) idempotent() bool { return r.route.Kind == routing.Idempotent }

// upstreamRequest builds the request that one attempt sends to a server.
func (g *Gateway) upstreamRequest(req *request, server *routing.Server) *http.Request {
	out := &http.Request{
		Method:        req.incoming.Method,
		URL:           requestURL(req.incoming),
		Host:          req.incoming.Host,
		Header:        req.incoming.Header.Clone(),
		ContentLength: req.body.length,
		Body:          req.body.newReader(),
	}
	header.StripHopByHop(out.Header)
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

// requestURL returns the URL to send upstream. It forwards the path and the query byte
// for byte as the caller sent them, unless the request target is an absolute URL or
// begins with two slashes.
func requestURL(incoming *http.Request) *url.URL {
	if strings.HasPrefix(incoming.RequestURI, "/") && !strings.HasPrefix(incoming.RequestURI, "//") {
		return &url.URL{
			Opaque: incoming.RequestURI,
		}
	}
	return incoming.URL
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
	for _, each := range []struct {
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
		value, err := strconv.Atoi(strings.TrimSpace(each.text))
		if err != nil || value < 0 {
			return nil
		}
		*each.target = value
	}
	return &report
}
