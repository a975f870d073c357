package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store plays the platform's table service. It loses nothing and answers at once, unless it is out.
type store struct {
	addr string

	mu      sync.Mutex
	ver     uint64
	rows    map[string]row // by table and key; removed rows stay for the feed
	changed chan struct{}  // closed at the next change
	out     bool           // each call is answered 503
	begin   time.Time
}

func newStore(ip string) (*store, error) {
	s := &store{rows: make(map[string]row), changed: make(chan struct{}), begin: time.Now()}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go http.Serve(l, s)
	return s, nil
}

// setOut makes the store answer 503 to each call, or serve again.
func (s *store) setOut(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row, as the operator and the runners do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Value: data, Ver: s.ver}
	s.wake()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Ver: s.ver, Removed: true}
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	out := s.out
	s.mu.Unlock()
	if out {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": false, "ver": ver, "nowMs": time.Since(s.begin).Milliseconds(),
	})
}

// sorted returns the rows of a table after a version, by version or by key. The mutex must be held.
func (s *store) sorted(table string, after uint64, byKey bool) []row {
	var rows []row
	for _, r := range s.rows {
		if r.Table == table && r.Ver > after && !(byKey && r.Removed) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if byKey {
			return rows[i].Key < rows[j].Key
		}
		return rows[i].Ver < rows[j].Ver
	})
	return rows
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for _, r := range s.sorted(q.Get("table"), 0, true) {
		if r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	s.answer(w, http.StatusOK, rows, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, ver, changed, out := s.sorted(q.Get("table"), after, false), s.ver, s.changed, s.out
		s.mu.Unlock()
		if out {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, ver)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, nil, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []row `json:"precondition"`
		SetKeys      []row `json:"setKeys"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []row
	holds := true
	for _, c := range tx.Precondition {
		now, ok := s.rows[c.Table+"/"+c.Key]
		if !ok || now.Removed {
			now = row{}
		} else {
			current = append(current, now)
		}
		holds = holds && now.Ver == c.Ver
	}
	for _, c := range append(tx.SetKeys, tx.Remove...) {
		if c.Table == "op" || c.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if !holds {
		ver := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, current, ver)
		return
	}
	s.ver++
	for _, c := range tx.SetKeys {
		c.Ver = s.ver
		s.rows[c.Table+"/"+c.Key] = c
	}
	for _, c := range tx.Remove {
		s.rows[c.Table+"/"+c.Key] = row{Table: c.Table, Key: c.Key, Ver: s.ver, Removed: true}
	}
	ver := s.ver
	s.wake()
	s.mu.Unlock()
	s.answer(w, http.StatusOK, nil, ver)
}
