package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as it is transferred.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is the platform's store: linearizable, and it keeps all of its history.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[[3]string]row
	// history holds all changes, oldest first.
	history []row
	// changed is closed and replaced with each change.
	changed chan struct{}
	// silentFrom and silentTo bound an outage in which calls get no answer, neither then nor later.
	silentFrom time.Time
	silentTo   time.Time
}

// newStore returns an empty store.
func newStore() *store {
	return &store{
		rows:    make(map[[3]string]row),
		changed: make(chan struct{}),
	}
}

// put writes a row. Writers other than the entries call it directly; whoever does so during an
// outage must not.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{
		Table:   table,
		Key:     key,
		Value:   value,
		Version: s.version,
	})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{
		Table:   table,
		Key:     key,
		Version: s.version,
		Removed: true,
	})
}

// apply applies a change. The caller must hold s.mu.
func (s *store) apply(changed row) {
	name := [3]string{changed.Table, changed.Part, changed.Key}
	s.rows[name] = changed
	if changed.Removed {
		delete(s.rows, name)
	}
	s.history = append(s.history, changed)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOutage sets when the store does not answer.
func (s *store) setOutage(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentFrom, s.silentTo = from, to
}

// away reports whether the store does not answer now.
func (s *store) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return !now.Before(s.silentFrom) && now.Before(s.silentTo)
}

// storeLatency is how long an answer takes.
const storeLatency = 4 * time.Millisecond

// ServeHTTP serves the calls of the entries.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	var answer any
	status := http.StatusOK
	time.Sleep(storeLatency)
	if s.away() {
		// A call that arrives in the outage is never answered.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		answer = s.get(r)
	case "/v1/rows-feed":
		answer = s.feed(r.Context(), r)
	case "/v1/rows-tx":
		status, answer = s.commit(r)
	default:
		http.NotFound(w, r)
		return
	}
	if s.away() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	content, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

// get answers a read of a part of a table.
func (s *store) get(r *http.Request) map[string]any {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, each := range s.rows {
		inRange := each.Key >= query.Get("from") && (query.Get("target") == "" || each.Key < query.Get("target"))
		if each.Table == query.Get("table") && each.Part == query.Get("part") && inRange {
			found = append(found, each)
		}
	}
	slices.SortFunc(found, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return s.answer(found)
}

// answer returns the answer with rows. The caller must hold s.mu.
func (s *store) answer(rows []row) map[string]any {
	return map[string]any{
		"rows":     rows,
		"has_more": false,
		"ver":      s.version,
		"now":      time.Now().UnixMilli(),
	}
}

// feed answers a call for changes, once there are any, or after the time that the call states.
func (s *store) feed(ctx context.Context, r *http.Request) map[string]any {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changes := []row{}
		for _, each := range s.history {
			if each.Table == query.Get("table") && each.Version > after {
				changes = append(changes, each)
			}
		}
		answer, changed := s.answer(changes), s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

// commit executes a transaction.
func (s *store) commit(r *http.Request) (status int, answer map[string]any) {
	var call struct {
		Expected []row `json:"expected"`
		Upserts  []row `json:"upserts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []row{}
	for _, expected := range call.Expected {
		actual, found := s.rows[[3]string{expected.Table, expected.Part, expected.Key}]
		conflict = conflict || actual.Version != expected.Version
		if found {
			current = append(current, actual)
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.version++
	for _, each := range call.Upserts {
		each.Version = s.version
		s.apply(each)
	}
	for _, each := range call.Remove {
		each.Version, each.Removed = s.version, true
		s.apply(each)
	}
	return http.StatusOK, s.answer([]row{})
}
