package main

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store of rows. Its answers are linearizable, its
// versions come from one counter, and it loses what it has acknowledged only in a drill, see
// comeBack. It serves the calls of PROTOCOL.md for rows; there are no objects.
type store struct {
	started time.Time

	mu sync.Mutex
	// version is that of the last transaction, and rows holds the rows as of it.
	version uint64
	rows    map[rowName]storeRow
	// history holds all changes in the order of their versions.
	history []change
	// era is the value of the header Store-Era.
	era int
	// outage says what happens to the calls while the store is away, and outageBegan is closed
	// when it goes away.
	outage      outage
	outageBegan chan struct{}
	// changed is closed, and replaced, with each transaction.
	changed chan struct{}
	// calls counts the calls of entries, by path and status.
	calls map[string]int
}

// outage is what a store that is away does with calls.
type outage int

// Kinds of outage.
const (
	outageNone outage = iota
	// outageSilent answers nothing, also not later on the same connection.
	outageSilent
	// outageReset resets the connection of each call.
	outageReset
)

// rowName identifies a row.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// storeRow is a row as the store sends it.
type storeRow struct {
	rowName
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// change is a row that was written or removed, and when.
type change struct {
	storeRow
	at time.Time
}

// errAway is the error of a write of an operator or a backend while the store is away.
var errAway = errors.New("the store is away")

func newStore() *store {
	return &store{
		started:     time.Now(),
		rows:        make(map[rowName]storeRow),
		era:         1,
		outageBegan: make(chan struct{}),
		changed:     make(chan struct{}),
		calls:       make(map[string]int),
	}
}

// goAway makes the store unavailable.
func (s *store) goAway(kind outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = kind
	close(s.outageBegan)
}

// comeBack makes the store available again. If age is above 0, it comes back from a copy of
// that age: the rows and the version are those of that time, and the era rises by one.
func (s *store) comeBack(age time.Duration) (lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage, s.outageBegan = outageNone, make(chan struct{})
	if age == 0 {
		return 0
	}
	s.era++
	copied := time.Now().Add(-age)
	before := s.version
	s.version, s.rows = 0, make(map[rowName]storeRow)
	kept := 0
	for _, each := range s.history {
		if each.at.After(copied) {
			break
		}
		kept++
		s.version = each.Version
		if each.Removed {
			delete(s.rows, each.rowName)
		} else {
			s.rows[each.rowName] = each.storeRow
		}
	}
	s.history = s.history[:kept:kept]
	return int(before - s.version)
}

// write writes a row as operators and backends do, and returns its version and the era.
func (s *store) write(table, key string, value []byte) (version uint64, era int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage != outageNone {
		return 0, 0, errAway
	}
	s.commit([]storeRow{
		{
			rowName: rowName{
				Table: table,
				Key:   key,
			},
			Value:   value,
			Removed: value == nil,
		},
	})
	return s.version, s.era, nil
}

// peek returns the era and whether a row exists, as a backend learns them from the answer to a
// heartbeat that changes nothing but its sequence number.
func (s *store) peek(table, key string) (era int, exists bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage != outageNone {
		return 0, false, errAway
	}
	_, exists = s.rows[rowName{
		Table: table,
		Key:   key,
	}]
	return s.era, exists, nil
}

// currentVersion returns the version of the last transaction.
func (s *store) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// commit applies writes and removals in one transaction. s.mu must be held.
func (s *store) commit(rows []storeRow) {
	s.version++
	for _, row := range rows {
		row.Version = s.version
		if row.Removed {
			delete(s.rows, row.rowName)
		} else {
			s.rows[row.rowName] = row
		}
		s.history = append(s.history, change{
			storeRow: row,
			at:       time.Now(),
		})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of entries.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	kind, began := s.outage, s.outageBegan
	s.mu.Unlock()
	if kind != outageNone {
		endUnanswered(w, r, kind)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.serveTransaction(w, body)
	case "/v1/rows-get":
		s.serveRows(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r, began)
	default:
		http.NotFound(w, r)
	}
}

// endUnanswered ends a call that the store does not answer.
func endUnanswered(w http.ResponseWriter, r *http.Request, kind outage) {
	if kind == outageReset {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			// A linger time of 0 makes Close send a reset.
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return
		}
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// answer is the body of an answer about rows.
type answer struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"has_more"`
	Version uint64     `json:"ver"`
	Now     string     `json:"now"`
}

// reply sends an answer.
func (s *store) reply(w http.ResponseWriter, path string, status, era int, content answer) {
	content.Now = strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
	if content.Rows == nil {
		content.Rows = []storeRow{}
	}
	s.mu.Lock()
	s.calls[path+" "+strconv.Itoa(status)]++
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	// An error says that the entry has closed the connection.
	_ = json.NewEncoder(w).Encode(content)
}

func (s *store) serveTransaction(w http.ResponseWriter, body []byte) {
	var call struct {
		Expected []storeRow `json:"expected"`
		Upserts  []storeRow `json:"upserts"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for i := range call.Remove {
		call.Remove[i].Removed = true
	}
	changes := slices.Concat(call.Upserts, call.Remove)
	for _, row := range changes {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "the table is not the system's", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	status, content := http.StatusOK, answer{}
	for _, row := range call.Expected {
		if s.rows[row.rowName].Version != row.Version {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		s.commit(changes)
	} else {
		for _, row := range call.Expected {
			if actual, found := s.rows[row.rowName]; found {
				content.Rows = append(content.Rows, actual)
			}
		}
	}
	content.Version = s.version
	era := s.era
	s.mu.Unlock()
	s.reply(w, "rows-tx", status, era, content)
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	table, part, from, target := query.Get("table"), query.Get("part"), query.Get("from"), query.Get("target")
	s.mu.Lock()
	content := answer{
		Version: s.version,
	}
	for _, name := range slices.SortedFunc(maps.Keys(s.rows), func(a, b rowName) int { return strings.Compare(a.Key, b.Key) }) {
		if name.Table == table && name.Part == part && name.Key >= from && (target == "" || name.Key < target) {
			content.Rows = append(content.Rows, s.rows[name])
		}
	}
	era := s.era
	s.mu.Unlock()
	s.reply(w, "rows-get", http.StatusOK, era, content)
}

// serveFeed answers with the changes of a table after a version, as soon as there are any. If
// the store does not have that version, the status is 410.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request, outageBegan <-chan struct{}) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "bad call", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		s.mu.Lock()
		content := answer{
			Version: s.version,
		}
		for _, each := range s.history {
			if each.Table == query.Get("table") && each.Version > after {
				content.Rows = append(content.Rows, each.storeRow)
			}
		}
		known, era, changed := after <= s.version, s.era, s.changed
		s.mu.Unlock()
		switch {
		case !known:
			s.reply(w, "rows-feed", http.StatusGone, era, answer{})
			return
		case len(content.Rows) > 0 || expired:
			s.reply(w, "rows-feed", http.StatusOK, era, content)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-outageBegan:
			s.mu.Lock()
			kind := s.outage
			s.mu.Unlock()
			endUnanswered(w, r, kind)
			return
		case <-r.Context().Done():
			return
		}
	}
}
