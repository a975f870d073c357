package rockinvariant

import (
	"fmt"
	"time"

	"sassafrasrock/core/rockcapacity"
	"sassafrasrock/core/rockcrash"
	"sassafrasrock/core/rocktable"
)

func checkConcurrency(_ time.Time, w *rocktable.World) error {
	for _, start := range w.Outbox.Starts {
		if start.Pipeline.Engine.RunsFullPath() {
			if err := checkFullPath(w, start); err != nil {
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

// checkFullPath checks a start on engines that run the full path: slots limit the first stage,
// memory limits every stage.
func checkFullPath(w *rocktable.World, start rocktable.Start) error {
	for i, stage := range start.Path {
		s := w.Servers.Get(stage.Server)
		switch {
		case s == nil:
		case i == 0 && s.FirstStageInFlight > s.Status.Slots:
			return fmt.Errorf("attempt %d: %d attempts have their first stage on backend server %s, which has %d slots", start.Attempt, s.FirstStageInFlight, s.Name, s.Status.Slots)
		case s.ReservedMemory > rockcapacity.RequestMemory(start.Pipeline, s):
			return fmt.Errorf("attempt %d: %.0f tokens x layers are reserved on backend server %s, more than its memory", start.Attempt, s.ReservedMemory, s.Name)
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
	if rockcrash.IsQuarantined(now, w, r) {
		return fmt.Errorf("attempt %d: starts content %x, which is quarantined", start.Attempt, r.Fingerprint)
	}
	for _, stage := range start.Path {
		s := w.Servers.Get(stage.Server)
		switch {
		case s == nil:
		case start.Alone && s.InFlight != 1:
			return fmt.Errorf("attempt %d: runs alone on backend server %s, which has %d attempts", start.Attempt, s.Name, s.InFlight)
		case s.ExclusiveRequest != start.Request && hasAttempt(w, s.ExclusiveRequest):
			return fmt.Errorf("attempt %d: starts on backend server %s, where request %d runs alone", start.Attempt, s.Name, s.ExclusiveRequest)
		}
	}
	return nil
}

// hasAttempt reports whether a request has an attempt. A reservation whose request has none may
// have been made after another request started on the backend server in the same tick, so it is no
// violation.
func hasAttempt(w *rocktable.World, id rocktable.RequestID) bool {
	r := w.Requests.Get(id)
	return r != nil && r.Attempt != 0
}

func checkQueues(_ time.Time, w *rocktable.World) error {
	waiting := make(map[rocktable.RankID]int, w.Ranks.Len())
	waitingIn := make(map[rocktable.PipelineID]int, w.Pipelines.Len())
	for key, lane := range w.Lanes.All() {
		waiting[key.Rank] += lane.Waiting
		waitingIn[key.Pipeline] += lane.Waiting
		if (lane.Waiting > 0) != (len(lane.Callers)+len(lane.FrontQueue) > 0) {
			return fmt.Errorf("lane of rank %d and pipeline %d: %d requests queued, with %d callers and %d requeued requests to start", key.Rank, key.Pipeline, lane.Waiting, len(lane.Callers), len(lane.FrontQueue))
		}
	}
	for id, rank := range w.Ranks.All() {
		if rank.Waiting != waiting[id] {
			return fmt.Errorf("rank %s: %d requests counted as queued, %d in lanes", rank.Config.Name, rank.Waiting, waiting[id])
		}
	}
	for id, p := range w.Pipelines.All() {
		if p.Waiting != waitingIn[id] {
			return fmt.Errorf("pipeline %s: %d requests counted as queued, %d in lanes", p.Config.Name, p.Waiting, waitingIn[id])
		}
	}
	return nil
}
