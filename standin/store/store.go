// Package store serves a platform in memory over the published protocol of the
// users' platform: rows in tables with versions, conditional transactions, feeds
// of changes with a bounded history, and raw objects. It fails as that platform
// may: see Fault.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// Server is the platform's HTTP service.
type Server struct {
	rows   rows
	faults *faults

	mu      sync.Mutex
	objects map[string][]byte
	late    sync.WaitGroup
}

// New returns a platform that holds nothing.
func New() *Server {
	return &Server{
		faults:  newFaults(),
		objects: make(map[string][]byte),
	}
}

// maxBody bounds one call's body, in bytes.
const maxBody = 256 << 20

// ServeHTTP serves rows, objects and the list of VMs at /machines, as far as the
// fault in force lets it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	write := r.Method != http.MethodGet
	// The body is read first: only then is it seen that a client has gone.
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(content))
	status, err := s.faults.admit(r.Context(), caller(r), write)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		http.Error(w, "the platform does not serve now", status)
		return
	case write && s.faults.loses():
		s.serveLate(r)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r)
}

func caller(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// serveLate performs a write whose answer is lost, now or after the delay that
// the fault sets.
func (s *Server) serveLate(r *http.Request) {
	fault, _ := s.faults.current()
	late := r.Clone(context.WithoutCancel(r.Context()))
	if fault.LateWriteDelay == 0 {
		s.serve(discard{}, late)
		return
	}
	s.late.Go(func() {
		time.Sleep(time.Duration(fault.LateWriteDelay))
		s.serve(discard{}, late)
	})
}

// WaitLateWrites waits until all writes whose answers were lost have been performed.
func (s *Server) WaitLateWrites() { s.late.Wait() }

// Compact forgets the history of changes, as the platform may at any time.
func (s *Server) Compact() { s.rows.compact() }

// PutRow writes a row as operators and backend servers do.
func (s *Server) PutRow(table, key string, value []byte) uint64 {
	version, _ := s.rows.commit(nil, []platform.StoreRow{
		{
			Table: table,
			Key:   key,
			Value: value,
		},
	}, nil)
	return version
}

// RemoveRow drops a row as operators and backend servers do.
func (s *Server) RemoveRow(table, key string) {
	s.rows.commit(nil, nil, []platform.StoreRow{
		{
			Table: table,
			Key:   key,
		},
	})
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{}

func (discard) Header() http.Header { return make(http.Header) }

func (discard) Write(content []byte) (int, error) { return len(content), nil }

func (discard) WriteHeader(int) {}

// Paths of the objects' calls; the object's ID follows.
const (
	putPath  = "/v1/blob-put/"
	getPath  = "/v1/blob-get/"
	dropPath = "/v1/blob-drop/"
)

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	switch {
	case path == "/v1/rows-tx" && r.Method == http.MethodPost:
		s.transact(w, r)
	case path == "/v1/rows-get" && r.Method == http.MethodGet:
		query := r.URL.Query()
		answer(w, http.StatusOK, s.rows.read(query.Get("table"), query.Get("part"), query.Get("from"), query.Get("target")))
	case path == "/v1/rows-feed" && r.Method == http.MethodGet:
		s.feed(w, r)
	case strings.HasPrefix(path, putPath) && r.Method == http.MethodPut:
		s.putObject(w, r, strings.TrimPrefix(path, putPath))
	case strings.HasPrefix(path, getPath) && r.Method == http.MethodGet:
		s.getObject(w, strings.TrimPrefix(path, getPath))
	case strings.HasPrefix(path, dropPath) && r.Method == http.MethodDelete:
		s.dropObject(w, strings.TrimPrefix(path, dropPath))
	case path == "/machines" && r.Method == http.MethodGet:
		answer(w, http.StatusOK, s.faults.machines())
	default:
		http.NotFound(w, r)
	}
}

// guarded are the tables that only operators and backend servers write.
var guarded = []string{platform.OperatorTable, platform.ServerTable}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []platform.StoreRow `json:"expected"`
		Upserts  []platform.StoreRow `json:"upserts"`
		Remove   []platform.StoreRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, each := range slices.Concat(body.Upserts, body.Remove) {
		if slices.Contains(guarded, each.Table) {
			http.Error(w, "the table is not the system's", http.StatusForbidden)
			return
		}
	}
	version, conflicts := s.rows.commit(body.Expected, body.Upserts, body.Remove)
	result := platform.StoreRows{
		Rows:    conflicts,
		Version: version,
	}
	if conflicts != nil {
		answer(w, http.StatusPreconditionFailed, result)
		return
	}
	answer(w, http.StatusOK, result)
}

func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, known := s.rows.changes(r.Context(), query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	if !known {
		http.Error(w, "the history is gone", http.StatusGone)
		return
	}
	answer(w, http.StatusOK, page)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, escaped string) {
	id, err := url.PathUnescape(escaped)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[id]; exists && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[id] = content
}

func (s *Server) getObject(w http.ResponseWriter, escaped string) {
	id, err := url.PathUnescape(escaped)
	s.mu.Lock()
	content, found := s.objects[id]
	s.mu.Unlock()
	if err != nil || !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(content)
}

func (s *Server) dropObject(w http.ResponseWriter, escaped string) {
	id, err := url.PathUnescape(escaped)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.objects[id]; err != nil || !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	delete(s.objects, id)
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
