// Package backend implements the backend servers that the intents of a deployment
// declare, for tests. They count the requests that they run, for comparison with the
// outcomes that callers got, and fail on command. Package server implements backend
// servers that register themselves with the platform.
package backend

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/header"
)

// Server is one backend server.
type Server struct {
	Name string
	// Address is the host and port on which the server listens.
	Address string
	// Slots is the maximum number of requests that the server runs concurrently. It
	// sheds requests beyond that.
	Slots int

	fleet *Fleet
	// inFlight is the number of requests that the server is handling, including those
	// that it sheds.
	inFlight atomic.Int64
	// crash closes the listener and all connections. serveOnce sets it.
	crash atomic.Pointer[func()]

	mu    sync.Mutex
	fault Fault
	// coldUntil is when the last Fault.ColdTime ends.
	coldUntil time.Time
	// sampledLoad is the value of inFlight at the time sampledAt. It is reported until
	// it is as old as Fault.LoadLag.
	sampledAt   time.Time
	sampledLoad int64
}

// headerTimeout limits the time to read a request's header.
const headerTimeout = 10 * time.Second

// Serve runs the server until ctx is done or it fails to listen. After a crash it
// restarts the server once restartDelay has passed.
func (s *Server) Serve(ctx context.Context) error {
	for {
		listener, err := net.Listen("tcp", s.Address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", s.Name)
		}
		s.serveOnce(ctx, listener)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}

// serveOnce serves until ctx is done or the server crashes.
func (s *Server) serveOnce(ctx context.Context, listener net.Listener) {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
	}
	crash := func() { _ = server.Close() }
	s.crash.Store(&crash)
	stop := context.AfterFunc(ctx, crash)
	defer stop()
	// Serve returns an error when the server is closed, which is how it ends.
	_ = server.Serve(listener)
}

// healthPath is the URL path of health probes.
const healthPath = "/health"

// URL query parameters that tell a backend server how to run a request.
const (
	// QueryWorkTime is the time that the request takes, as a Go duration.
	QueryWorkTime = "work"
	// QueryEcho is a tag that identifies the request and that the response
	// repeats.
	QueryEcho = "echo"
	// QueryPaddingBytes is the length of Response.Padding, in bytes before JSON
	// encodes it.
	QueryPaddingBytes = "answer"
	// QueryPoison crashes every backend server that runs the request.
	QueryPoison = "poison"
)

// ServeHTTP answers a health probe, or sheds or runs a request. To run a request, it
// reads the body, waits as long as the query asks for, and responds with the padding
// that the query asks for.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		s.serveProbe(w)
		return
	}
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	fault := s.takeFault()
	overSlots := inFlight > int64(s.Slots)
	if overSlots || fault.Shed {
		s.shed(w, overSlots)
		return
	}
	query := r.URL.Query()
	s.recordStart(r.Header.Get(header.IdempotencyKey), query.Get(QueryEcho))
	if query.Has(QueryPoison) {
		s.fleet.updateReport(func(report *Report) { report.Crashes++ })
		(*s.crash.Load())()
		return
	}
	bodyBytes, err := io.Copy(io.Discard, r.Body)
	if err != nil || s.simulateWork(r.Context(), query, fault) != nil {
		return
	}
	s.respond(w, r, query, fault, bodyBytes)
}

// serveProbe responds to a health probe with the reported load and, under
// Fault.Unhealthy, status 503.
func (s *Server) serveProbe(w http.ResponseWriter) {
	w.Header().Set(header.Load, strconv.FormatInt(s.reportedLoad(), 10))
	if s.currentFault().Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// shed refuses and counts a request. overSlots is true if all slots were in use.
func (s *Server) shed(w http.ResponseWriter, overSlots bool) {
	s.fleet.updateReport(func(report *Report) {
		report.Shed++
		if overSlots {
			report.OverSlots++
		}
	})
	w.Header().Set(header.Shed, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// recordStart counts the start of a request with an idempotency key and a tag,
// either of which may be empty.
func (s *Server) recordStart(key, tag string) {
	s.fleet.updateReport(func(report *Report) {
		report.Requests++
		report.LastStart[s.Name] = time.Now()
		if key != "" {
			report.RunsByKey[key]++
		}
		if tag != "" {
			report.RunsByTag[tag]++
		}
	})
}

// simulateWork waits for the time that the request asks for, multiplied by ColdFactor
// while the server is cold, plus Fault.ResponseDelay. Under Fault.Hang that time never
// passes. simulateWork returns an error if ctx is done first.
func (s *Server) simulateWork(ctx context.Context, query url.Values, fault Fault) error {
	duration, err := time.ParseDuration(query.Get(QueryWorkTime))
	if err != nil {
		duration = 0
	}
	if s.isCold() {
		duration *= ColdFactor
	}
	var finished <-chan time.Time
	if !fault.Hang {
		finished = time.After(duration + time.Duration(fault.ResponseDelay))
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Response is the body of a backend server's response, as JSON.
type Response struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Echo is the tag of the request.
	Echo string `json:"echo"`
	// BodyBytes is the length of the request's body.
	BodyBytes int64 `json:"received"`
	// Padding consists of zero bytes, as many as the request asked for. JSON encodes
	// each of them in six bytes.
	Padding string `json:"filling,omitempty"`
}

// maxPaddingBytes limits the length of Response.Padding, whatever the request asks
// for.
const maxPaddingBytes = 64 << 20

// respond writes the response to a request, altered or truncated as the fault
// says.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, query url.Values, fault Fault, bodyBytes int64) {
	result := Response{
		Server:    s.Name,
		Echo:      query.Get(QueryEcho),
		BodyBytes: bodyBytes,
	}
	if paddingBytes, err := strconv.Atoi(query.Get(QueryPaddingBytes)); err == nil && paddingBytes > 0 {
		result.Padding = string(make([]byte, min(paddingBytes, maxPaddingBytes)))
	}
	id := r.Header.Get(header.RequestID)
	if fault.ResponseMismatch {
		id = "another-" + id
		result.Echo = "another"
	}
	content, err := json.Marshal(result)
	if err != nil {
		panic("encode response: " + err.Error())
	}
	w.Header().Set(header.RequestID, id)
	w.Header().Set(header.Load, strconv.FormatInt(s.reportedLoad(), 10))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if fault.Truncated {
		_, _ = w.Write(content[:len(content)/2])
		// An error says that the connection is closed already, as it is about to be.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(content)
}
