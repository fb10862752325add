// Package store serves a platform in memory over the platform's HTTP protocol,
// see docs/PROTOCOLS.md.
package store

import (
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
	Store *memory.Store
}

// ServeHTTP serves the table under /table/, the object store under /objects/
// and the list of VMs at /machines.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		machines, err := s.Store.List(r.Context())
		answer(w, machines, err)
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
	revisions, err := s.Store.Commit(r.Context(), writes)
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
	rows, err := s.Store.Scan(r.Context(), r.URL.Query().Get("prefix"))
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
	row, err := s.Store.Read(r.Context(), name)
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
		content, err := s.Store.Get(r.Context(), name)
		if err != nil {
			answer(w, nil, err)
			return
		}
		_, _ = w.Write(content)
	case http.MethodPut:
		content, err := io.ReadAll(r.Body)
		if err == nil {
			err = s.Store.Put(r.Context(), name, content)
		}
		answer(w, nil, err)
	case http.MethodDelete:
		answer(w, nil, s.Store.Delete(r.Context(), name))
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
