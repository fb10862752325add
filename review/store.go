package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row as the platform's store transfers it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// storeReply is the body of a response of the store.
type storeReply struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"has_more"`
	Version uint64     `json:"ver"`
	Now     int64      `json:"now"`
}

// store is a stand-in for the platform's store: rows, transactions and feeds.
type store struct {
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow
	history []storeRow
	changed chan struct{}
	// down makes the store answer each call with status 503.
	down bool
}

func newStore() *store {
	return &store{
		started: time.Now(),
		rows:    make(map[string]storeRow),
		changed: make(chan struct{}),
	}
}

// rowID returns the key of a row in store.rows.
func rowID(row storeRow) string { return row.Table + "\x00" + row.Part + "\x00" + row.Key }

// setDown starts or ends an outage of the store.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// isDown reports whether the store is down.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// wake ends the waits of feeds. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]storeRow{
		{
			Table: table,
			Key:   key,
			Value: value,
		},
	}, nil)
}

// remove removes a row, if there is one.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(nil, []storeRow{
		{
			Table: table,
			Key:   key,
		},
	})
}

// commit applies a transaction. s.mu must be held.
func (s *store) commit(upserts, removed []storeRow) {
	s.version++
	for _, row := range upserts {
		row.Version = s.version
		s.rows[rowID(row)] = row
		s.history = append(s.history, row)
	}
	for _, row := range removed {
		if _, found := s.rows[rowID(row)]; !found {
			continue
		}
		delete(s.rows, rowID(row))
		row.Version, row.Removed, row.Value = s.version, true, nil
		s.history = append(s.history, row)
	}
	s.wake()
}

// ServeHTTP serves the calls for rows.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-get":
		s.reply(w, http.StatusOK, s.read(query.Get("table"), query.Get("part"), query.Get("from"), query.Get("target")))
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	case "/v1/rows-tx":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes rows as the answer to a call.
func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the caller has left.
	_ = json.NewEncoder(w).Encode(storeReply{
		Rows:    rows,
		Version: version,
		Now:     time.Since(s.started).Milliseconds(),
	})
}

// read returns the rows of a range in the order of their keys.
func (s *store) read(table, part, from, until string) []storeRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == table && row.Part == part && row.Key >= from && (until == "" || row.Key < until) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// serveFeed answers with the changes of a table after a version, as soon as there are any.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Version > after && row.Table == query.Get("table") {
				rows = append(rows, row)
			}
		}
		changed, down := s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || expired || waitMS == 0 {
			s.reply(w, http.StatusOK, rows)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// serveTransaction applies a transaction of the system if its conditions hold.
func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []storeRow `json:"expected"`
		Upserts  []storeRow `json:"upserts"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]storeRow{}, call.Upserts...), call.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	conflict := false
	var current []storeRow
	for _, row := range call.Expected {
		stored, found := s.rows[rowID(row)]
		conflict = conflict || stored.Version != row.Version
		if found {
			current = append(current, stored)
		}
	}
	if !conflict {
		s.commit(call.Upserts, call.Remove)
		current = nil
	}
	s.mu.Unlock()
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	s.reply(w, http.StatusOK, nil)
}
