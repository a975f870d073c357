package rockmember

import (
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// stateRequestEvery is the time between two requests of a host that has started for the state of its peers. They
	// refuse its messages until they know its key.
	stateRequestEvery = 200 * time.Millisecond
	// stateRequestPeers is the number of peers that receive each request.
	stateRequestPeers = 3
	// stateRequestTime is the time from its start in which a host sends such requests. Later, rounds of gossip bring what
	// it lacks.
	stateRequestTime = 5 * time.Second
	// stateWait is the longest time from its start for which a host delays requests that its peers may know to crash
	// backend servers.
	stateWait = time.Second
)

// requestState asks peers for their state until one has sent it. A host that serves before it knows of parts of prompts
// that crash backend servers would lose some for them again.
func requestState(now time.Time, w *rocktable.World) {
	g := &w.Gossip
	g.StateAwaitedUntil = time.Time{}
	if g.StateReceived || now.Sub(w.StartedAt) >= stateRequestTime {
		return
	}
	asked, remote, _ := peers(w)
	if len(asked) == 0 {
		asked = remote
	}
	if len(asked) == 0 {
		return
	}
	g.StateAwaitedUntil = w.StartedAt.Add(stateWait)
	if now.Before(g.NextStateRequest) {
		w.WakeAt(g.NextStateRequest)
		return
	}
	g.NextStateRequest = now.Add(stateRequestEvery)
	w.WakeAt(g.NextStateRequest)
	m := SelfMessage(w)
	m.WantState = true
	m.Reply = true // it carries no reports of load
	for i := range min(stateRequestPeers, len(asked)) {
		h := asked[(g.StateRequests+i)%len(asked)]
		send(w, h.ID, h.Address, m)
	}
	g.StateRequests += stateRequestPeers
}

// knowsState reports whether this host can tell another one what the hosts know.
func knowsState(now time.Time, w *rocktable.World) bool {
	return w.Gossip.StateReceived || now.Sub(w.StartedAt) >= stateWait
}
