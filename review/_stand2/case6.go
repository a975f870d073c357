package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["6"] = case6 }

const (
	case6Events  = 60
	case6EventMs = 50
	case6Streams = 24
)

// case6 kills a model runner that is the second one of the paths of streams that may not be resumed. The first ones stall, list
// the streams as waiting for it, and cut them off after stall_ms.
func case6(trouble bool) (bool, error) {
	f, err := newFleet("review/6/record.txt")
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.write("op", "config", manifest(3))
	args := []string{"-model", "-work", "40", "-parts", fmt.Sprint(case6Events), "-part-ms", fmt.Sprint(case6EventMs), "-unframed"}
	runners := make(map[string]*runnerProcess)
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		r, err := f.startRunner(name, freeAddress(), args...)
		if err != nil {
			return false, err
		}
		runners[name] = r
		f.register(name, modelEntry(r.address, "dakar-plateau", r.born))
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
	if err := waitFor(15*time.Second, "layers on each runner", func() bool { return f.holders() == len(runners) }); err != nil {
		return false, err
	}
	lost := f.lastHolder()
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	answers := make([]answer, case6Streams)
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i*20) * time.Millisecond)
			id, host := newID(), hosts[i%2]
			f.record.printf("sent %s POST %s to %s", id, prefixNight, host.name)
			answers[i] = f.ask(context.Background(), host.front, "POST", prefixNight+"sum/"+id, id, 20*time.Second, "summarise "+id)
			f.recordAnswer(answers[i])
		})
	}
	if trouble {
		time.Sleep(1500 * time.Millisecond)
		f.record.printf("%s crashes", lost)
		_ = runners[lost].cmd.Process.Kill()
		time.Sleep(3500 * time.Millisecond)
		again, err := f.startRunner(lost, runners[lost].address, args...)
		if err != nil {
			return false, err
		}
		f.register(lost, modelEntry(again.address, "dakar-plateau", again.born))
		f.record.printf("%s is back", lost)
	}
	wg.Wait()

	short, whole, broken := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status == 200 && a.complete && a.body == wholeStream(a.id, case6Events):
			whole++
		case a.status/100 == 2 && a.complete:
			short++
			f.record.printf("BROKEN: the stream of %s ended as complete after %d of %d events", a.id, strings.Count(a.body, "\ndata: "), case6Events)
		default:
			broken++
		}
	}
	text := fmt.Sprintf("%d streams, %d whole, %d that ended as complete before their last event, %d broken off", len(answers), whole, short, broken)
	f.record.printf("%s", text)
	fmt.Println("case 6: " + text)
	if !trouble && whole != len(answers) {
		return false, nil
	}
	if short+broken == 0 && trouble {
		return false, fmt.Errorf("no stream passed through %s", lost)
	}
	return short == 0, nil
}
