package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = case9 }

const (
	case9Events    = 60
	case9EventMs   = 100
	case9Consumers = 24
	drainTime      = 2 * time.Second // bounds.drainMs
)

// case9 replaces a model runner as planned: a new one starts, the old one reports that it is draining, serves on for drainMs
// and a little longer, closes its listener, ends the streams that it has begun, and exits.
func case9(trouble bool) (bool, error) {
	f, err := newFleet("review/9/record.txt")
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.write("op", "config", manifest(3))
	args := []string{"-model", "-work", "40", "-parts", fmt.Sprint(case9Events), "-part-ms", fmt.Sprint(case9EventMs), "-unframed", "-leave"}
	runners := make(map[string]*runnerProcess)
	start := func(name string) error {
		r, err := f.startRunner(name, "127.0.0.1:0", args...)
		if err != nil {
			return err
		}
		runners[name] = r
		f.register(name, modelEntry(r.address, "dakar-plateau", r.born))
		return nil
	}
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		if err := start(name); err != nil {
			return false, err
		}
	}
	for _, name := range []string{"j-1", "j-2", "j-3"} { // of the plain service, for the first requests on the channels
		r, err := f.startRunner(name, "127.0.0.1:0", "-work", "30")
		if err != nil {
			return false, err
		}
		f.register(name, plainEntry(r.address, "dakar-plateau", r.born))
	}
	var hosts []*entry
	for i := range 2 {
		e, err := f.newEntry(fmt.Sprintf("front-%d", i+1), "dakar-plateau")
		if err != nil {
			return false, err
		}
		hosts = append(hosts, e)
	}
	for _, e := range hosts {
		if err := waitFor(15*time.Second, "ready", e.isReady); err != nil {
			return false, err
		}
	}
	if err := waitFor(15*time.Second, "layers on each runner", func() bool { return f.holders() == 5 }); err != nil {
		return false, err
	}
	old := f.firstHolder()
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	answers := make([]answer, case9Consumers)
	for i := range answers {
		wg.Go(func() {
			channels := &http.Transport{DisableCompression: true}
			defer channels.CloseIdleConnections()
			host := hosts[i%2]
			time.Sleep(time.Duration(i*10) * time.Millisecond)
			first := newID()
			f.record.printf("sent %s GET %s to %s", first, prefixRead, host.name)
			f.recordAnswer(f.askOn(context.Background(), channels, host.front, "GET", prefixRead+"sq/"+first, first, 2500*time.Millisecond, ""))
			id := newID()
			f.record.printf("sent %s POST %s to %s on the same channel", id, prefixNight, host.name)
			answers[i] = f.askOn(context.Background(), channels, host.front, "POST", prefixNight+"sum/"+id, id, 20*time.Second, "summarise "+id)
			f.recordAnswer(answers[i])
		})
	}
	if trouble {
		time.Sleep(1500 * time.Millisecond)
		if err := start("i-6"); err != nil {
			return false, err
		}
		f.record.printf("%s reports that it is draining", old)
		f.mu.Lock()
		e := f.entries[old]
		e["state"] = "draining"
		f.mu.Unlock()
		f.store.write("servers", old, e)
		time.Sleep(drainTime + 300*time.Millisecond)
		f.record.printf("%s takes no new channel, and ends what it serves", old)
		_ = runners[old].cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		f.store.write("servers", old, nil)
	}
	wg.Wait()

	closed, whole, ran, allEvents := 0, 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status == 200 && a.complete && a.body == wholeStream(a.id, case9Events):
			whole++
		case a.kept && !a.complete && (a.err != nil):
			closed++
			n := strings.Count(a.body, "\ndata: ")
			if n == case9Events {
				allEvents++
			}
			f.record.printf("BROKEN: the channel of %s was closed without a complete answer; %s had sent all, %d of %d events have arrived", a.id, old, n, case9Events)
		}
		f.mu.Lock()
		if len(f.runs[a.id]) > 0 && f.runs[a.id][0] == old {
			ran++
		}
		f.mu.Unlock()
	}
	text := fmt.Sprintf("%d streams on kept channels, %d whole, %d whose channel was closed without a complete answer (%d of them with all events); %d ran at %s",
		len(answers), whole, closed, allEvents, ran, old)
	f.record.printf("%s", text)
	fmt.Println("case 9: " + text)
	if !trouble && whole != len(answers) {
		return false, nil
	}
	if ran <= 3 {
		return false, fmt.Errorf("only %d streams ran at %s", ran, old)
	}
	return closed <= 3, nil
}
