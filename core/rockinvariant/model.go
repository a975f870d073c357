package rockinvariant

import (
	"fmt"
	"time"

	"sassafrasrock/core/rockroute"
	"sassafrasrock/core/rocktable"
)

func checkConcurrency(_ time.Time, w *rocktable.World) error {
	for _, start := range w.Outbox.Starts {
		if start.Pipeline.Engine.RunsFullPath() {
			if err := checkWholePath(w, start); err != nil {
				return err
			}
			continue
		}
		for _, stage := range start.Path {
			s := w.Servers.Get(stage.Server)
			if s != nil && s.InFlight > s.Status.Slots {
				return fmt.Errorf("attempt %d: backend server %s has %d attempts and %d slots", start.Attempt, s.Name, s.InFlight, s.Status.Slots)
			}
		}
	}
	return nil
}

// checkWholePath checks a start on engines that run a whole path: slots count where a request enters, memory on every stage.
func checkWholePath(w *rocktable.World, start rocktable.Start) error {
	for i, stage := range start.Path {
		s := w.Servers.Get(stage.Server)
		switch {
		case s == nil:
		case i == 0 && s.FirstStageInFlight > s.Status.Slots:
			return fmt.Errorf("attempt %d: %d attempts enter at backend server %s, which has %d slots", start.Attempt, s.FirstStageInFlight, s.Name, s.Status.Slots)
		case s.ReservedMemory > rockroute.Memory(start.Pipeline, s):
			return fmt.Errorf("attempt %d: %.0f tokens x layers are reserved on backend server %s, which has fewer", start.Attempt, s.ReservedMemory, s.Name)
		}
	}
	return nil
}

func checkAlone(now time.Time, w *rocktable.World) error {
	for _, start := range w.Outbox.Starts {
		if err := checkStartAlone(now, w, start); err != nil {
			return err
		}
	}
	return nil
}

func checkStartAlone(now time.Time, w *rocktable.World, start rocktable.Start) error {
	r := w.Requests.Get(start.Request)
	if r == nil {
		return nil // answered in the same tick
	}
	if s := w.Suspects.Get(r.Fingerprint); s != nil && s.Quarantined && now.Before(s.ExpiresAt) {
		return fmt.Errorf("attempt %d: starts quarantined content %x", start.Attempt, r.Fingerprint)
	}
	for _, stage := range start.Path {
		s := w.Servers.Get(stage.Server)
		switch {
		case s == nil:
		case start.Alone && s.InFlight != 1:
			return fmt.Errorf("attempt %d: runs alone on backend server %s, which has %d attempts", start.Attempt, s.Name, s.InFlight)
		case s.ExclusiveRequest != start.Request && runs(w, s.ExclusiveRequest):
			return fmt.Errorf("attempt %d: starts on backend server %s, where request %d runs alone", start.Attempt, s.Name, s.ExclusiveRequest)
		}
	}
	return nil
}

// runs reports whether a request has an attempt. A reservation without one may be younger than a start of the same tick.
func runs(w *rocktable.World, id rocktable.RequestID) bool {
	r := w.Requests.Get(id)
	return r != nil && r.Attempt != 0
}

func checkQueues(_ time.Time, w *rocktable.World) error {
	// There are few ranks, and ids of ranks are their positions.
	waiting := make([]int, w.Ranks.Len())
	for key, lane := range w.Lanes.All() {
		if int(key.Rank) >= len(waiting) {
			continue // the rank left the configuration
		}
		waiting[key.Rank] += lane.Waiting
		if (lane.Waiting > 0) != (len(lane.Callers)+len(lane.FrontQueue) > 0) {
			return fmt.Errorf("lane of rank %d and pipeline %d: %d requests wait, with %d callers and %d requeued", key.Rank, key.Pipeline, lane.Waiting, len(lane.Callers), len(lane.FrontQueue))
		}
	}
	for id, rank := range w.Ranks.All() {
		if int(id) < len(waiting) && rank.Waiting != waiting[id] {
			return fmt.Errorf("rank %s: %d requests counted as waiting, %d in lanes", rank.Config.Name, rank.Waiting, waiting[id])
		}
	}
	return nil
}
