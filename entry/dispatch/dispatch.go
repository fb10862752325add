// Package dispatch takes callers' requests to backend servers: it admits them,
// claims their idempotency keys, chooses a home of the service's backend
// servers, and carries request and answer through, in bounded memory.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/teaselstack/teaselstack/entry/key"
	"github.com/teaselstack/teaselstack/entry/link"
	"github.com/teaselstack/teaselstack/entry/quarantine"
	"github.com/teaselstack/teaselstack/entry/slot"
	"github.com/teaselstack/teaselstack/entry/steering"
	"github.com/teaselstack/teaselstack/header"
	"github.com/teaselstack/teaselstack/intent"
	"github.com/teaselstack/teaselstack/outcome"
	"github.com/teaselstack/teaselstack/timeline"
)

// Dispatcher carries the requests of one entry.
type Dispatcher struct {
	// Entry and Region are this entry's own.
	Entry  string
	Region string
	// PeerKey authenticates this entry to its peers.
	PeerKey string
	// MaxDeadline bounds every request; 0 sets no bound.
	MaxDeadline time.Duration

	// Configuration returns the newest configuration, or nil.
	Configuration func() *intent.Configuration
	// Places ranks the homes of a service's backend servers.
	Places func(service *intent.Service, region string) []steering.Ranked
	// PeerAddress returns a peer's address, or "" for an unknown one.
	PeerAddress func(entry string) string

	Slots      *slot.Ledger
	Links      *link.Shaper
	Keys       *key.Register
	Quarantine *quarantine.List
	Events     *timeline.Ring
	Metrics    metrics.Registry

	// Backends and Peers are the transports to backend servers and peers.
	Backends http.RoundTripper
	Peers    http.RoundTripper

	stopping atomic.Bool
	inFlight sync.WaitGroup
	active   atomic.Int64
}

// answer is what an attempt brought back: a response to copy, or an outcome.
type answer struct {
	response *http.Response
	outcome  outcome.Outcome
	// server is the backend server that was tried, "" when none was.
	server string
	// release gives back what the response holds; it is never nil for one.
	release func()
}

// ServeCaller serves callers' requests.
func (d *Dispatcher) ServeCaller(w http.ResponseWriter, incoming *http.Request) {
	header.StripInternal(incoming.Header)
	if !d.enter() {
		d.refuse(w, nil, *notRun(outcome.ReasonStopping, "this entry is stopping"))
		return
	}
	defer d.leave()
	req, bad := d.parse(incoming)
	if bad != nil {
		d.refuse(w, nil, *bad)
		return
	}
	ctx, cancel := d.withDeadline(req)
	defer cancel()
	if d.Quarantine.Quarantined(req.Digest) {
		d.refuse(w, req, *notRun(outcome.ReasonQuarantined, "this request broke several backend servers"))
		return
	}
	if req.Idempotent {
		d.deliver(w, req, d.route(ctx, req), nil)
		return
	}
	claim, result := d.Keys.Begin(ctx, req.Service.Name, req.Key, req.Digest)
	if claim == nil {
		d.replay(w, req, result)
		return
	}
	d.deliver(w, req, d.route(ctx, req), claim)
}

// ServePeer serves requests that a peer relays to this entry as the home.
func (d *Dispatcher) ServePeer(w http.ResponseWriter, incoming *http.Request) {
	if !d.enter() {
		d.refuse(w, nil, *notRun(outcome.ReasonStopping, "this entry is stopping"))
		return
	}
	defer d.leave()
	req, bad := d.parseRelayed(incoming)
	if bad != nil {
		d.refuse(w, nil, *bad)
		return
	}
	ctx, cancel := d.withDeadline(req)
	defer cancel()
	d.deliver(w, req, d.serveLocally(ctx, req, nil), nil)
}

// route tries homes in their order until one gives an answer that ends the
// request.
func (d *Dispatcher) route(ctx context.Context, req *Request) answer {
	last := answer{
		outcome: *notRun(outcome.ReasonNoBackendServer, "no home of the service can be reached"),
	}
	var excluded []string
	for _, ranked := range d.Places(req.Service, req.Region) {
		if !ranked.Allowed {
			continue
		}
		if ranked.Place.Home == d.Entry {
			last = d.serveLocally(ctx, req, excluded)
		} else {
			last = d.relay(ctx, req, ranked.Place)
		}
		if last.response != nil || !d.mayRetry(ctx, req, last.outcome) {
			return last
		}
		if last.server != "" {
			excluded = append(excluded, last.server)
		}
	}
	return last
}

// mayRetry reports whether a request without an answer may be tried elsewhere.
func (d *Dispatcher) mayRetry(ctx context.Context, req *Request, out outcome.Outcome) bool {
	if ctx.Err() != nil || !req.replayable() && out.Reason != outcome.ReasonNoRoom && out.Reason != outcome.ReasonNoBackendServer {
		return false
	}
	return out.Kind == outcome.NotRun || req.Idempotent
}

// enter counts a request in, unless the entry is stopping.
func (d *Dispatcher) enter() bool {
	d.inFlight.Add(1)
	d.active.Add(1)
	if d.stopping.Load() {
		d.leave()
		return false
	}
	return true
}

func (d *Dispatcher) leave() {
	d.active.Add(-1)
	d.inFlight.Done()
}

// Active returns how many requests are in flight.
func (d *Dispatcher) Active() int64 {
	return d.active.Load()
}

// Stop refuses new requests and waits until ctx is done or none is in flight.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		d.inFlight.Wait()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver copies an answer to the caller and records how the request ended.
func (d *Dispatcher) deliver(w http.ResponseWriter, req *Request, ans answer, claim *key.Claim) {
	if ans.response == nil {
		d.finish(req, ans, claim, nil)
		d.refuse(w, req, ans.outcome)
		return
	}
	defer ans.release()
	response := ans.response
	header.StripHopByHop(response.Header)
	header.StripInternal(response.Header)
	memory := &capture{}
	copyHeader(w.Header(), response.Header)
	w.Header().Set(header.Outcome, outcome.Done.String())
	w.WriteHeader(response.StatusCode)
	err := copyBody(w, response, memory)
	if err != nil {
		ans.outcome = outcome.Outcome{
			Kind:   outcome.Unknown,
			Reason: outcome.ReasonShortAnswer,
			Detail: err.Error(),
		}
		d.finish(req, ans, claim, nil)
		panic(http.ErrAbortHandler)
	}
	d.finish(req, ans, claim, memory)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// copyBody copies an answer as it arrives.
func copyBody(w http.ResponseWriter, response *http.Response, memory *capture) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			memory.write(buffer[:count])
			if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
			if response.ContentLength < 0 {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// capture keeps an answer for repeats, up to a bound.
type capture struct {
	content  []byte
	overflow bool
}

// maxRemembered is the longest answer that is kept for repeats, in bytes.
const maxRemembered = 16 << 10

func (c *capture) write(part []byte) {
	if c.overflow || len(c.content)+len(part) > maxRemembered {
		c.overflow = true
		c.content = nil
		return
	}
	c.content = append(c.content, part...)
}

// finish records how a request ended, for repeats and on the time line.
func (d *Dispatcher) finish(req *Request, ans answer, claim *key.Claim, memory *capture) {
	metrics.GetOrRegisterCounter("requests."+ans.outcome.Kind.String(), d.Metrics).Inc(1)
	if claim != nil {
		result := key.Result{
			Outcome: ans.outcome,
		}
		if ans.response != nil && memory != nil {
			result.Status = ans.response.StatusCode
			result.Header = ans.response.Header.Clone()
			result.Body = memory.content
		}
		claim.Finish(result)
	}
	if ans.outcome.Kind != outcome.Done {
		d.Events.Record(timeline.Event{
			Kind:    "request-" + ans.outcome.Kind.String(),
			Service: req.Service.Name,
			Server:  ans.server,
			Key:     req.Key,
			Detail:  string(ans.outcome.Reason) + " " + ans.outcome.Detail,
		})
	}
}

// refuse answers a request that has no answer of a backend server.
func (d *Dispatcher) refuse(w http.ResponseWriter, req *Request, out outcome.Outcome) {
	if req == nil {
		metrics.GetOrRegisterCounter("requests."+out.Kind.String(), d.Metrics).Inc(1)
	}
	w.Header().Set(header.Outcome, out.Kind.String())
	w.Header().Set(header.Reason, string(out.Reason))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(out.HTTPStatus())
	_, _ = io.WriteString(w, out.Kind.String()+": "+string(out.Reason)+": "+out.Detail+"\n")
}

// replay tells a repeat what became of the first request with its key.
func (d *Dispatcher) replay(w http.ResponseWriter, req *Request, result *key.Result) {
	w.Header().Set(header.Replayed, "true")
	if result.Outcome.Kind != outcome.Done {
		d.refuse(w, req, result.Outcome)
		return
	}
	copyHeader(w.Header(), result.Header)
	w.Header().Set(header.Outcome, outcome.Done.String())
	if result.Body == nil && result.Status != http.StatusNoContent {
		w.Header().Set(header.Reason, "answer-not-remembered")
		w.Header().Del("Content-Length")
	}
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}
