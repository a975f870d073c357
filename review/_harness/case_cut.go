package main

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cut"] = caseCut }

// caseCut kills one of six runners of the model service while they send streams that end with their channels. At least two
// hold the first layers, so that another one can go on with what the killed one sent.
func caseCut() bool {
	s := newStore()
	s.write("op", "config", manifest(1))
	runners := make(map[string]*modelRunner)
	for _, id := range []string{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6"} {
		runners[id] = startModelRunner(s, id, "dakar-plateau", "h200")
	}
	e := startEntry(s, "front-1", "dakar-plateau")
	e.waitReady()
	time.Sleep(5 * time.Second) // the runners take their layers
	first := s.firstRunners()
	note("runners with the first layers: %v", first)
	if len(first) < 2 {
		fail("no second runner holds the first layers")
	}
	var got answers
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			c := newConsumer(e)
			c.header = map[string]string{"X-Model": modelName, "X-Token-Counts": "800,160", "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:760"}
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			got.add(c.send("POST", "/draft/x", 20000, []byte("draft")))
		})
	}
	time.Sleep(1700 * time.Millisecond)
	if trouble {
		note("runner %s crashes", first[0])
		_ = runners[first[0]].cmd.Process.Signal(syscall.SIGKILL)
		time.Sleep(3600 * time.Millisecond) // three silent pings
		s.write("servers", first[0], nil)
	}
	wg.Wait()
	short := got.count(func(a answer) bool { return isServed(a) && !isWhole(a) })
	note("streams %d, whole %d, ended as complete before their last piece %d, broken off %d", got.count(all),
		got.count(func(a answer) bool { return isServed(a) && isWhole(a) }), short, got.count(func(a answer) bool { return !isServed(a) }))
	if got.count(isServed) == 0 {
		fail("no stream was served")
	}
	return short == 0
}

// firstRunners returns the runners that report that they hold the first layer. All streams enter at one of them.
func (s *store) firstRunners() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.rows {
		var entry struct {
			Layers *struct {
				From int `json:"from"`
			} `json:"layers"`
		}
		if key[0] == "servers" && json.Unmarshal(r.Value, &entry) == nil && entry.Layers != nil && entry.Layers.From == 0 {
			ids = append(ids, key[2])
		}
	}
	slices.Sort(ids)
	return ids
}

// isWhole reports whether an answer has all pieces of a stream, once and in order.
func isWhole(a answer) bool {
	var want strings.Builder
	for id := 1; id <= streamEvents; id++ {
		want.WriteString(eventText(id))
	}
	return string(a.data) == want.String()
}
