// Package store serves a platform in memory over the platform's HTTP protocol,
// see docs/PROTOCOLS.md.
package store

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/platform/memory"
)

// Server is the platform's HTTP service.
type Server struct {
	store  *memory.Store
	faults *faults
}

// New returns a platform that serves what store holds.
func New(store *memory.Store) *Server {
	return &Server{
		store:  store,
		faults: newFaults(),
	}
}

// maxBody bounds one call's body, in bytes.
const maxBody = 256 << 20

// ServeHTTP serves the table under /table/, the object store under /objects/
// and the list of VMs at /machines, as far as the fault in force lets it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	write := r.Method != http.MethodGet
	// The body is read first: only then is it seen that a client has gone.
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(content))
	status, err := s.faults.admit(r.Context(), write)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		http.Error(w, "the platform does not serve now", status)
		return
	case write && s.faults.loses():
		s.serve(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r)
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{}

func (discard) Header() http.Header { return make(http.Header) }

func (discard) Write(content []byte) (int, error) { return len(content), nil }

func (discard) WriteHeader(int) {}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	switch {
	case path == "/table/transactions" && r.Method == http.MethodPost:
		s.transact(w, r)
	case path == "/table/rows" && r.Method == http.MethodGet:
		s.scan(w, r)
	case strings.HasPrefix(path, "/table/rows/") && r.Method == http.MethodGet:
		s.read(w, r, strings.TrimPrefix(path, "/table/rows/"))
	case strings.HasPrefix(path, "/objects/"):
		s.object(w, r, strings.TrimPrefix(path, "/objects/"))
	case path == "/machines" && r.Method == http.MethodGet:
		answer(w, s.faults.machines(), nil)
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var body []platform.TransactionWrite
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writes := make([]platform.Write, 0, len(body))
	for _, write := range body {
		value := write.Value
		if value == nil && !write.Delete && !write.Check {
			value = []byte{}
		}
		writes = append(writes, platform.Write{
			Row:    write.Row,
			Expect: write.Expect,
			Value:  value,
			Check:  write.Check,
		})
	}
	revisions, err := s.store.Commit(r.Context(), writes)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(platform.TransactionResult{
			Conflict: conflict.Row,
			Actual:   conflict.Actual,
		})
		return
	}
	answer(w, platform.TransactionResult{
		Revisions: revisions,
	}, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	rows, err := s.store.Scan(r.Context(), r.URL.Query().Get("prefix"))
	results := make([]platform.RowResult, 0, len(rows))
	for _, row := range rows {
		results = append(results, platform.RowResult(row))
	}
	answer(w, results, err)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, escaped string) {
	name, err := url.PathUnescape(escaped)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	row, err := s.store.Read(r.Context(), name)
	answer(w, platform.RowResult(row), err)
}

func (s *Server) object(w http.ResponseWriter, r *http.Request, escaped string) {
	name, err := url.PathUnescape(escaped)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch r.Method {
	case http.MethodGet:
		content, err := s.store.Get(r.Context(), name)
		if err != nil {
			answer(w, nil, err)
			return
		}
		_, _ = w.Write(content)
	case http.MethodPut:
		content, err := io.ReadAll(r.Body)
		if err == nil {
			err = s.store.Put(r.Context(), name, content)
		}
		answer(w, nil, err)
	case http.MethodDelete:
		answer(w, nil, s.store.Delete(r.Context(), name))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, value any, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		_ = json.NewEncoder(w).Encode(value)
	}
}
