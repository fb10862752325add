// Package gateway serves callers: it finds a request's route, sends the request
// to a backend server, again to another one where that is allowed, and gives
// the caller the server's whole answer or a refusal that is true.
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

// Gateway serves the callers of one entry.
type Gateway struct {
	HeaderNames header.Names
	// Configuration returns the newest configuration, or nil.
	Configuration func() *routing.Configuration
	Fleet         *placement.Fleet
	Pool          *upstream.Pool
	RetryBudget   *RetryBudget
	Quarantine    *quarantine.List
	// RegistrationsAge returns how long ago the store last told of registrations,
	// and whether it ever did.
	RegistrationsAge func() (age time.Duration, known bool)
	// ShuttingDown reports whether connections are to be closed after their answers.
	ShuttingDown func() bool
	Logger       *log.Logger
	Metrics      metrics.Registry

	inFlight atomic.Int64
	buffered atomic.Int64
	// longest holds the longest deadline of callers by route, in nanoseconds.
	longest sync.Map
}

// defaultDeadline is how long a caller is taken to wait that does not say.
const defaultDeadline = 30 * time.Second

// request is one caller's attempt on its way.
type request struct {
	incoming *http.Request
	route    *routing.Route
	version  uint64
	service  string
	id       string
	object   uint64
	digest   quarantine.Digest
	arrived  time.Time
	// deadline is when the caller leaves, limit when the answer is due: the
	// deadline or the route's timeout, whichever is earlier.
	deadline time.Time
	limit    time.Time
	body     *body
	// bodyLimit is the longest body allowed; 0 sets no bound.
	bodyLimit int64
	// returning says that the caller seems to have been refused before.
	returning bool
	tried     []string
	// sends counts what reached servers, unconnected the servers that could not
	// be reached.
	sends       int
	unconnected int
	// mayHaveRun says that a server may have run the request.
	mayHaveRun bool
	// reason is why the last try gave no answer.
	reason outcome.Reason
	// spare is a server's failure that the caller gets unless another server does
	// better.
	spare *attempt
	// last is the placement that refused the request, if one did.
	last *placement.Choice
}

// InFlight returns how many requests are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	StopHeaderTimeout(incoming.Context())
	if g.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	req, refusal := g.parse(incoming)
	if refusal != nil {
		g.refuse(w, req, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), req.limit.Add(answerSlack))
	defer cancel()
	if refusal := g.readBody(req); refusal != nil {
		g.refuse(w, req, *refusal)
		return
	}
	defer g.releaseBody(req)
	g.run(ctx, w, req)
}

// parse finds the route of a request and what bounds it.
func (g *Gateway) parse(incoming *http.Request) (*request, *refusal) {
	req := &request{
		incoming: incoming,
		id:       incoming.Header.Get(g.HeaderNames.RequestID),
		arrived:  time.Now(),
	}
	req.deadline = req.arrived.Add(defaultDeadline)
	if value, err := strconv.ParseInt(incoming.Header.Get(g.HeaderNames.DeadlineMS), 10, 32); err == nil && value >= 0 {
		req.deadline = req.arrived.Add(time.Duration(value) * time.Millisecond)
	}
	req.limit = req.deadline
	conf := g.Configuration()
	if conf == nil {
		return req, notRun(outcome.ReasonNoConfiguration, startWait)
	}
	req.version = conf.Version
	if refusal := checkLimits(incoming, conf.Limits); refusal != nil {
		return req, refusal
	}
	req.bodyLimit = conf.Limits.MaxBodyBytes
	req.route = conf.MatchRoute(incoming.Host, incoming.URL.Path)
	if req.route == nil {
		return req, &refusal{
			status: http.StatusNotFound,
			reason: outcome.ReasonNoRoute,
		}
	}
	if limit := req.arrived.Add(req.route.Timeout); req.route.Timeout > 0 && limit.Before(req.limit) {
		req.limit = limit
	}
	req.setObject(g.HeaderNames.ObjectCookie)
	req.setService()
	g.RetryBudget.CountRequest(req.service)
	return req, nil
}

// setObject takes the object from its cookie. A request without one counts as
// an object of its own.
func (r *request) setObject(cookie string) {
	object := r.id
	for _, each := range r.incoming.CookiesNamed(cookie) {
		object = each.Value
	}
	r.object = placement.ObjectHash(r.route.Name, object)
}

// setService draws the service of a split by the request's ID, so that all
// requests have the same odds whatever object they concern.
func (r *request) setService() {
	draw := placement.ObjectHash("", r.id)
	r.service = r.route.PickService(float64(draw>>11) / (1 << 53))
}

// client is the caller's address without port.
func (r *request) client() string {
	host, _, err := net.SplitHostPort(r.incoming.RemoteAddr)
	if err != nil {
		return r.incoming.RemoteAddr
	}
	return host
}

// repeatable reports whether the request may run more than once.
func (r *request) repeatable() bool { return r.route.Kind == routing.Idempotent }

// outgoing returns the request for one send to a server.
func (g *Gateway) outgoing(req *request, server *routing.Server) *http.Request {
	out := &http.Request{
		Method:        req.incoming.Method,
		URL:           target(req.incoming),
		Host:          req.incoming.Host,
		Header:        req.incoming.Header.Clone(),
		ContentLength: req.body.length,
		Body:          req.body.open(),
	}
	header.StripHopByHop(out.Header)
	out.Header.Del("Expect")
	if out.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		out.Header["User-Agent"] = []string{""}
	}
	out.Header.Set(g.HeaderNames.TargetServer, server.ID)
	left := max(1, time.Until(req.limit).Milliseconds())
	out.Header.Set(g.HeaderNames.DeadlineMS, strconv.FormatInt(left, 10))
	return out
}

// target returns the request's path and query as the caller sent them.
func target(incoming *http.Request) *url.URL {
	if strings.HasPrefix(incoming.RequestURI, "/") && !strings.HasPrefix(incoming.RequestURI, "//") {
		return &url.URL{
			Opaque: incoming.RequestURI,
		}
	}
	return incoming.URL
}

// parseReport reads a server's load header.
func parseReport(text string) *placement.LoadReport {
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
