package rockadmit

import (
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// System admits and queues requests.
var System = rocktable.System{
	Name: "rockadmit",
	Doc:  "Admits or refuses new requests and queues them by rank and caller.",
	Run:  run,
}

func run(now time.Time, w *rocktable.World) {
	for _, a := range w.Inbox.Arrivals {
		if a.Request.Call != nil {
			continue // rockclaim admits application calls
		}
		r := w.Requests.Put(a.Request.ID, a.Request)
		if code := refusal(w); code != "" {
			w.Answer(r.ID, code)
			continue
		}
		r.State = rocktable.RequestQueued
		share := w.Shares.GetOrPut(rocktable.ShareKey{Rank: r.Rank, Caller: r.Caller})
		share.Queue = append(share.Queue, r.ID)
	}
}

func refusal(w *rocktable.World) rockreason.Code {
	switch {
	case w.Draining:
		return rockreason.ShuttingDown
	case !w.Ready:
		return rockreason.NotReady
	}
	return ""
}

// Next returns the waiting request to start next, or nil; skip holds those that found no path in this tick.
func Next(now time.Time, w *rocktable.World, skip map[rocktable.RequestID]bool) *rocktable.Request {
	var best *rocktable.Request
	for _, share := range w.Shares.All() {
		for _, id := range share.Queue {
			r := w.Requests.Get(id)
			if r == nil || skip[id] {
				continue
			}
			if best == nil || r.Rank < best.Rank || r.Rank == best.Rank && r.ID < best.ID {
				best = r
			}
			break
		}
	}
	return best
}

// Remove takes a request out of its queue.
func Remove(w *rocktable.World, r *rocktable.Request) {
	share := w.Shares.Get(rocktable.ShareKey{Rank: r.Rank, Caller: r.Caller})
	if share == nil {
		return
	}
	for i, id := range share.Queue {
		if id == r.ID {
			share.Queue = append(share.Queue[:i], share.Queue[i+1:]...)
			return
		}
	}
}
