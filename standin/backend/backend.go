// Package backend serves backend servers that count what they run, so that a
// test can compare it with what callers were told, and that fail on command.
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
	Name    string
	Address string
	Slots   int

	fleet    *Fleet
	inFlight atomic.Int64
	// crash ends the running process; it is set by Serve.
	crash atomic.Pointer[func()]

	mu        sync.Mutex
	fault     Fault
	coldUntil time.Time
	sampledAt time.Time
	sampled   int64
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// Serve runs the server until ctx is done. After a crash it comes back.
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
		case <-time.After(downTime):
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
	_ = server.Serve(listener)
}

// healthPath is where probes go.
const healthPath = "/health"

// Names of the query that tells a backend server what to do.
const (
	// QueryWorkTime is how long the request runs.
	QueryWorkTime = "work"
	// QueryEcho is the request's own mark.
	QueryEcho = "echo"
	// QueryPaddingBytes is how many bytes the answer's filling has.
	QueryPaddingBytes = "answer"
	// QueryPoison crashes every backend server that runs the request.
	QueryPoison = "poison"
)

// ServeHTTP runs one request: it reads the body, takes as long as the query
// says, and answers with as many bytes as asked.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		s.probe(w)
		return
	}
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	fault := s.strike()
	over := inFlight > int64(s.Slots)
	if over || fault.Shed {
		s.shed(w, over)
		return
	}
	query := r.URL.Query()
	s.begin(r.Header.Get(header.IdempotencyKey), query.Get(QueryEcho))
	if query.Has(QueryPoison) {
		s.fleet.change(func(report *Report) { report.Crashes++ })
		(*s.crash.Load())()
		return
	}
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil || s.work(r.Context(), query, fault) != nil {
		return
	}
	s.answer(w, r, query, fault, received)
}

func (s *Server) probe(w http.ResponseWriter) {
	w.Header().Set(header.Load, strconv.FormatInt(s.reportedLoad(), 10))
	if s.current().Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) shed(w http.ResponseWriter, over bool) {
	s.fleet.change(func(report *Report) {
		report.Shed++
		if over {
			report.OverSlots++
		}
	})
	w.Header().Set(header.Shed, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// begin counts a run.
func (s *Server) begin(key, mark string) {
	s.fleet.change(func(report *Report) {
		report.Requests++
		report.LastStart[s.Name] = time.Now()
		if key != "" {
			report.RunsByKey[key]++
		}
		if mark != "" {
			report.RunsByTag[mark]++
		}
	})
}

// work takes the time that the request asks for, and what the fault adds.
func (s *Server) work(ctx context.Context, query url.Values, fault Fault) error {
	span, err := time.ParseDuration(query.Get(QueryWorkTime))
	if err != nil {
		span = 0
	}
	if s.cold() {
		span *= ColdFactor
	}
	var end <-chan time.Time
	if !fault.Hang {
		end = time.After(span + time.Duration(fault.ResponseDelay))
	}
	select {
	case <-end:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Response is a backend server's answer.
type Response struct {
	Server string `json:"server"`
	// Echo is the request's own mark.
	Echo string `json:"echo"`
	// BodyBytes counts the bytes of the request's body.
	BodyBytes int64 `json:"received"`
	// Padding is as long as the request asked.
	Padding string `json:"filling,omitempty"`
}

// maxFilling bounds the filling of an answer, in bytes.
const maxFilling = 64 << 20

func (s *Server) answer(w http.ResponseWriter, r *http.Request, query url.Values, fault Fault, received int64) {
	result := Response{
		Server:    s.Name,
		Echo:      query.Get(QueryEcho),
		BodyBytes: received,
	}
	if size, err := strconv.Atoi(query.Get(QueryPaddingBytes)); err == nil && size > 0 {
		result.Padding = string(make([]byte, min(size, maxFilling)))
	}
	id := r.Header.Get(header.RequestID)
	if fault.ResponseMismatch {
		id = "another-" + id
		result.Echo = "another"
	}
	content, err := json.Marshal(result)
	if err != nil {
		panic("encode answer: " + err.Error())
	}
	w.Header().Set(header.RequestID, id)
	w.Header().Set(header.Load, strconv.FormatInt(s.reportedLoad(), 10))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if fault.Truncated {
		_, _ = w.Write(content[:len(content)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(content)
}
