// Package store implements an in-memory platform for tests. It serves the
// published protocol of the users' platform: versioned rows in tables, conditional
// transactions, change feeds with a history that may be discarded, raw objects, and
// the list of VMs. Fault lists the failures of that platform that it can inject.
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
	"sync/atomic"
	"time"

	"github.com/teaselstack/teaselstack/platform"
)

// Server is the HTTP service of the in-memory platform.
type Server struct {
	rows   rowStore
	faults *faultState
	// eraHeader replaces the value of the header with the era, see SetEraHeader.
	eraHeader atomic.Pointer[string]
	// silentReturn reports whether calls that were lost in the last return from a copy get no
	// reset.
	silentReturn atomic.Bool

	mu sync.Mutex
	// objects holds the content of each object by its ID.
	objects map[string][]byte
	// lateWrites counts the writes still to be performed after their responses
	// were lost.
	lateWrites sync.WaitGroup
}

// New returns an empty platform without faults.
func New() *Server {
	return &Server{
		faults:  newFaultState(),
		objects: make(map[string][]byte),
	}
}

// maxBodyBytes is the maximum size of the body of a call.
const maxBodyBytes = 256 << 20

// ServeHTTP serves the calls for rows, for objects and for the list of VMs, subject
// to the injected faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	write := r.Method != http.MethodGet
	// net/http detects that a client has disconnected, and cancels the request's
	// context, only once the body has been read.
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(content))
	s.setEra(w, s.rows.currentEra())
	status, err := s.faults.admit(r.Context(), clientIP(r), write)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		http.Error(w, "the platform does not serve now", status)
		return
	case write && s.faults.takeLostResponse():
		s.performLostWrite(r)
		panic(http.ErrAbortHandler)
	}
	s.setEra(w, s.rows.currentEra())
	s.serve(w, r)
}

// clientIP returns the IP address of the client.
func clientIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// performLostWrite performs a write whose response is lost, immediately or after
// Fault.LateWriteDelay.
func (s *Server) performLostWrite(r *http.Request) {
	fault, _ := s.faults.currentFault()
	request := r.Clone(context.WithoutCancel(r.Context()))
	if fault.LateWriteDelay == 0 {
		s.serve(discardResponse{}, request)
		return
	}
	s.lateWrites.Go(func() {
		time.Sleep(time.Duration(fault.LateWriteDelay))
		s.serve(discardResponse{}, request)
	})
}

// WaitLateWrites waits until all writes that Fault.LateWriteDelay delays have been
// performed.
func (s *Server) WaitLateWrites() { s.lateWrites.Wait() }

// Compact discards the history of changes, as the platform may at any time.
func (s *Server) Compact() { s.rows.compact() }

// TakeCopy returns a copy of all rows, for RestoreCopy.
func (s *Server) TakeCopy() Copy { return s.rows.takeCopy() }

// RestoreCopy makes the store return from a copy, as the platform may in a drill: what was
// written since is lost, its versions are given out again, and the era rises by one. Calls that
// wait for changes get no response: if silent is true never, else by a reset of their
// connections.
func (s *Server) RestoreCopy(from Copy, silent bool) {
	s.silentReturn.Store(silent)
	s.rows.restore(from)
}

// SetEraHeader replaces the value of the header with the era by the given one, which may be
// malformed, or leaves the header out if that is empty. With nil the header has the true value.
func (s *Server) SetEraHeader(value *string) { s.eraHeader.Store(value) }

// setEra sets the header with the era of a response.
func (s *Server) setEra(w http.ResponseWriter, era platform.Era) {
	value := era.String()
	if replaced := s.eraHeader.Load(); replaced != nil {
		value = *replaced
	}
	w.Header().Del(platform.EraHeader)
	if value != "" {
		w.Header().Set(platform.EraHeader, value)
	}
}

// writeRows responds with a status and rows, and with the era that they are of.
func (s *Server) writeRows(w http.ResponseWriter, status int, rows platform.StoreRows) {
	s.setEra(w, rows.Era)
	rows.Era = 0
	writeJSON(w, status, rows)
}

// PutRow writes a row as operators and backend servers do, without conditions and
// faults, and returns its version.
func (s *Server) PutRow(table, key string, value []byte) uint64 {
	return s.rows.commit(nil, []platform.StoreRow{
		{
			Table: table,
			Key:   key,
			Value: value,
		},
	}, nil).Version
}

// RemoveRow removes a row as operators and backend servers do, without conditions
// and faults.
func (s *Server) RemoveRow(table, key string) {
	s.rows.commit(nil, nil, []platform.StoreRow{
		{
			Table: table,
			Key:   key,
		},
	})
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header { return make(http.Header) }

func (discardResponse) Write(content []byte) (int, error) { return len(content), nil }

func (discardResponse) WriteHeader(int) {}

// Path prefixes of the calls for objects. The object's escaped ID follows.
const (
	putObjectPath    = "/v1/blob-put/"
	getObjectPath    = "/v1/blob-get/"
	deleteObjectPath = "/v1/blob-drop/"
)

// serve answers a call that was admitted, according to its path and method.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	switch {
	case path == "/v1/rows-tx" && r.Method == http.MethodPost:
		s.serveTransaction(w, r)
	case path == "/v1/rows-get" && r.Method == http.MethodGet:
		query := r.URL.Query()
		s.writeRows(w, http.StatusOK, s.rows.readRange(query.Get("table"), query.Get("part"), query.Get("from"), query.Get("target")))
	case path == "/v1/rows-feed" && r.Method == http.MethodGet:
		s.serveFeed(w, r)
	case strings.HasPrefix(path, putObjectPath) && r.Method == http.MethodPut:
		s.putObject(w, r, strings.TrimPrefix(path, putObjectPath))
	case strings.HasPrefix(path, getObjectPath) && r.Method == http.MethodGet:
		s.getObject(w, strings.TrimPrefix(path, getObjectPath))
	case strings.HasPrefix(path, deleteObjectPath) && r.Method == http.MethodDelete:
		s.deleteObject(w, strings.TrimPrefix(path, deleteObjectPath))
	case path == "/machines" && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, s.faults.visibleVMs())
	default:
		http.NotFound(w, r)
	}
}

// protectedTables are the tables that only operators and backend servers may
// write. Transactions that write them are refused.
var protectedTables = []string{platform.OperatorTable, platform.ServerTable}

// serveTransaction commits a conditional transaction. On a conflict it responds
// with status 412 and the current rows.
func (s *Server) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []platform.StoreRow `json:"expected"`
		Upserts  []platform.StoreRow `json:"upserts"`
		Remove   []platform.StoreRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(body.Upserts, body.Remove) {
		if slices.Contains(protectedTables, row.Table) {
			http.Error(w, "the table is not the system's", http.StatusForbidden)
			return
		}
	}
	result := s.rows.commit(body.Expected, body.Upserts, body.Remove)
	status := http.StatusOK
	if result.Rows != nil {
		status = http.StatusPreconditionFailed
	}
	s.writeRows(w, status, result)
}

// serveFeed responds with a table's changes after a version, as a long poll. If
// the history does not reach back to that version, the status is 410.
func (s *Server) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	calledIn := s.rows.currentEra()
	page, available := s.rows.awaitChanges(r.Context(), query.Get("table"), after, time.Duration(waitMS)*time.Millisecond)
	if page.Era != calledIn {
		if s.silentReturn.Load() {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	if !available {
		s.setEra(w, page.Era)
		http.Error(w, "the history is gone", http.StatusGone)
		return
	}
	s.writeRows(w, http.StatusOK, page)
}

// putObject stores the body under an escaped object ID. With the header
// If-None-Match: * it does not overwrite an object, but responds with status 412.
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

// getObject responds with the content of the object with an escaped ID.
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

// deleteObject deletes the object with an escaped ID.
func (s *Server) deleteObject(w http.ResponseWriter, escaped string) {
	id, err := url.PathUnescape(escaped)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.objects[id]; err != nil || !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	delete(s.objects, id)
}

// writeJSON responds with a status and a value as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
