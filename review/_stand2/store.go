package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store: rows with versions, conditional writes and feeds. It loses nothing and
// answers at once.
type store struct {
	address string

	mu      sync.Mutex
	version uint64
	rows    map[[2]string]row
	history []row
	changed chan struct{} // closed and replaced at each change
	start   time.Time
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rows: make(map[[2]string]row), changed: make(chan struct{}), start: time.Now()}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a row, or removes it if the value is nil. The mutex must be held.
func (s *store) put(table, key string, value []byte) {
	s.version++
	r := row{Table: table, Key: key, Value: value, Version: s.version, Removed: value == nil}
	delete(s.rows, [2]string{table, key})
	if value != nil {
		s.rows[[2]string{table, key}] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a row as the operator or a runner does. A nil value removes the row.
func (s *store) write(table, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(table, key, data)
}

// keys returns the keys of a table.
func (s *store) keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.rows {
		if k[0] == table {
			keys = append(keys, k[1])
		}
	}
	return keys
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": version, "nowMs": time.Since(s.start).Milliseconds()})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r)
	case "/-/rows-get":
		s.mu.Lock()
		var rows []row
		for _, stored := range s.rows {
			if stored.Table == q.Get("table") && stored.Part == q.Get("part") && stored.Key >= q.Get("from") && (q.Get("to") == "" || stored.Key < q.Get("to")) {
				rows = append(rows, stored)
			}
		}
		version := s.version
		s.mu.Unlock()
		slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
		s.answer(w, http.StatusOK, rows, version)
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []row `json:"precondition"`
		Puts       []row `json:"setKeys"`
		Removals   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	met := true
	for _, c := range tx.Conditions {
		stored, ok := s.rows[[2]string{c.Table, c.Key}]
		if ok {
			current = append(current, stored)
		}
		met = met && stored.Version == c.Version
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, current, s.version)
		return
	}
	for _, p := range tx.Puts {
		s.put(p.Table, p.Key, p.Value)
	}
	for _, p := range tx.Removals {
		s.put(p.Table, p.Key, nil)
	}
	s.answer(w, http.StatusOK, nil, s.version)
}

// feed answers with the changes of a table after a version as soon as there is one, or after the wait.
func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		var rows []row
		for _, h := range s.history {
			if h.Table == table && h.Version > after {
				rows = append(rows, h)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}
