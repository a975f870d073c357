package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	modelName    = "daka510000"
	streamEvents = 40
	eventPause   = 50 * time.Millisecond
)

// modelRunner is a runner of the model service that runs as a process of its own. This side keeps its entry.
type modelRunner struct {
	*application
	cmd *exec.Cmd
}

// startModelRunner starts a runner as a process and writes its entry to the store.
func startModelRunner(s *store, id, zone, kind string) *modelRunner {
	address := freeAddress()
	m := &modelRunner{application: &application{id: id, address: address, born: time.Now().UnixMilli(), store: s}}
	m.entry = map[string]any{
		"service": "pool", "addr": address, "zone": zone, "version": "v1", "slots": 192, "state": "ready", "coldLeftMs": 0, "sequence": 1,
		"born": m.born, "kind": kind, "stage": "prefill_decode", "models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}},
	}
	entry, err := json.Marshal(m.entry)
	if err != nil {
		fail("encode: %v", err)
	}
	m.cmd = exec.Command(os.Args[0], "runner", id, s.address, string(entry))
	m.cmd.Stderr = os.Stderr
	if err := m.cmd.Start(); err != nil {
		fail("start of a runner: %v", err)
	}
	children = append(children, m.cmd.Process)
	for range 100 {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			s.write("servers", id, m.entry)
			return m
		}
		time.Sleep(20 * time.Millisecond)
	}
	fail("runner %s does not listen", id)
	return nil
}

// runnerProcess is the process of a runner of the model service. It never returns.
func runnerProcess(id, storeAddress, entryText string) {
	r := &modelProcess{id: id, storeAddress: storeAddress}
	if err := json.Unmarshal([]byte(entryText), &r.entry); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	address, _ := r.entry["addr"].(string)
	fmt.Fprintln(os.Stderr, http.ListenAndServe(address, r))
	os.Exit(exitNotRun)
}

type modelProcess struct {
	id, storeAddress string

	mu     sync.Mutex
	entry  map[string]any
	orders uint64
}

func (m *modelProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Runner-Id", m.id)
	case r.URL.Path == "/-/report":
		m.report(w)
	case r.Header.Get("X-Expect-Runner") != m.id:
		w.Header().Set("X-Runner-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/-/order":
		m.order(w, r)
	default:
		m.stream(w, r)
	}
}

func (m *modelProcess) report(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := maps.Clone(m.entry)
	report["sequence"], report["busy"], report["queued"], report["running"], report["kvUsed"], report["kvTotal"] = m.orders, false, 0, 0, 0, 8000000
	_ = json.NewEncoder(w).Encode(report)
}

// order takes an order to hold layers, and writes the entry with them to the store.
func (m *modelProcess) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string  `json:"operation"`
		From         int     `json:"from"`
		To           int     `json:"to"`
		Precondition *uint64 `json:"precondition"`
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch err := json.NewDecoder(r.Body).Decode(&o); {
	case err != nil || o.Operation != "place":
		w.WriteHeader(http.StatusBadRequest)
		return
	case o.Precondition != nil && *o.Precondition != m.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	m.orders++
	m.entry["layers"] = map[string]any{"from": o.From, "to": o.To, "version": 1}
	m.entry["sequence"] = m.orders + 1
	entry, _ := json.Marshal(m.entry)
	resp, err := http.Post("http://"+m.storeAddress+"/beat/"+m.id, "application/json", strings.NewReader(string(entry)))
	if err == nil {
		resp.Body.Close()
	}
	w.WriteHeader(http.StatusAccepted)
}

// stream sends the events of an answer that has neither a length nor chunks and ends with its channel; with FRAMED=1 it
// has chunks.
func (m *modelProcess) stream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("X-Attempt-Id")
	first := int(number(r.Header.Get("Last-Event-Id"))) + 1
	if os.Getenv("FRAMED") == "1" {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Runner-Signature", "sig."+m.id+"."+attempt)
		for id := first; id <= streamEvents; id++ {
			fmt.Fprint(w, eventText(id))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventPause)
		}
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: sig.%s.%s\r\nConnection: close\r\n\r\n", attempt, m.id, attempt)
	for id := first; id <= streamEvents; id++ {
		if _, err := io.WriteString(c, eventText(id)); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }
