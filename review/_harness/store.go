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

// store is a stand-in for the platform's store: transactions, reads and feeds as PROTOCOL.md tells them.
type store struct {
	address string
	mu      sync.Mutex
	changed *sync.Cond
	version uint64
	rows    map[[3]string]row
	history []row
	begin   time.Time
}

func newStore() *store {
	s := &store{rows: make(map[[3]string]row), begin: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	l := listen()
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r)
	case "/-/rows-get":
		found := []row{}
		for _, stored := range s.rows {
			if stored.Table == q.Get("table") && stored.Part == q.Get("part") && stored.Key >= q.Get("from") && (q.Get("to") == "" || stored.Key < q.Get("to")) {
				found = append(found, stored)
			}
		}
		slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
		s.answer(w, http.StatusOK, found)
	case "/-/rows-feed":
		s.feed(w, r, q.Get("table"), number(q.Get("after")), time.Duration(number(q.Get("waitMs")))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": s.version, "nowMs": time.Since(s.begin).Milliseconds()})
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
	failed, current := false, []row{}
	for _, c := range tx.Conditions {
		stored, ok := s.rows[[3]string{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, stored)
		}
		failed = failed || stored.Version != c.Version
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.putLocked(p)
	}
	for _, p := range tx.Removals {
		s.removeLocked(p)
	}
	s.answer(w, http.StatusOK, []row{})
}

func (s *store) putLocked(p row) {
	p.Version = s.version
	s.rows[[3]string{p.Table, p.Part, p.Key}] = p
	s.history = append(s.history, p)
	s.changed.Broadcast()
}

func (s *store) removeLocked(p row) {
	delete(s.rows, [3]string{p.Table, p.Part, p.Key})
	s.history = append(s.history, row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Removed: true})
	s.changed.Broadcast()
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timer := time.AfterFunc(wait, s.changed.Broadcast)
	defer timer.Stop()
	for begin := time.Now(); ; s.changed.Wait() {
		found := []row{}
		for _, change := range s.history {
			if change.Table == table && change.Version > after {
				found = append(found, change)
			}
		}
		if len(found) > 0 || time.Since(begin) >= wait {
			s.answer(w, http.StatusOK, found)
			return
		}
	}
}

// write writes a row as the operator or a runner does; nil removes it.
func (s *store) write(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if value == nil {
		s.removeLocked(row{Table: table, Key: key})
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		fail("encode: %v", err)
	}
	s.putLocked(row{Table: table, Key: key, Value: text})
}
