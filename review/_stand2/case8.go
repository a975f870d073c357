package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = case8 }

const (
	case8Events  = 40
	case8EventMs = 50
	case8Streams = 40 // at the host that is cut off; each of the others has a quarter of it before
)

// wholeStream returns the whole stream of a request.
func wholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(eventOf(id, n))
	}
	return b.String()
}

// case8 cuts the way from one of four entry hosts to a model runner, in this direction only, while it sends streams without a length. It crashes behind
// the cut.
func case8(trouble bool) (bool, error) {
	f, err := newFleet("review/8/record.txt")
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.write("op", "config", manifest(3))
	args := []string{"-model", "-work", "40", "-parts", fmt.Sprint(case8Events), "-part-ms", fmt.Sprint(case8EventMs), "-unframed"}
	links, runners := make(map[string]*link), make(map[string]*runnerProcess)
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		r, err := f.startRunner(name, freeAddress(), args...)
		if err != nil {
			return false, err
		}
		k, err := newLink(r.address)
		if err != nil {
			return false, err
		}
		k.oneWay = true
		links[name], runners[name] = k, r
		f.register(name, modelEntry(k.address, "dakar-plateau", r.born))
	}
	var hosts []*entry
	for i := range 4 {
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
	lost := f.firstHolder() // streams enter at the runners of the first layer
	k := links[lost]
	k.only = hosts[0]
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	answers := make([]answer, case8Streams+3*case8Streams/4)
	for i := range answers {
		host, wait := hosts[0], 2300*time.Millisecond
		if i >= case8Streams { // these end before the trouble
			host, wait = hosts[1+i%3], 0
		}
		wg.Go(func() {
			time.Sleep(wait + time.Duration(i%case8Streams*5)*time.Millisecond)
			id := newID()
			f.record.printf("sent %s POST %s to %s", id, prefixDraft, host.name)
			answers[i] = f.ask(context.Background(), host.front, "POST", prefixDraft+"bio/"+id, id, 20*time.Second, "draft "+id)
			f.recordAnswer(answers[i])
		})
	}
	if trouble {
		time.Sleep(3200 * time.Millisecond)
		f.record.printf("the way from front-1 to %s is cut", lost)
		k.cut()
		time.Sleep(500 * time.Millisecond)
		f.record.printf("%s crashes behind the cut", lost)
		_ = runners[lost].cmd.Process.Kill()
		time.Sleep(2 * time.Second)
		again, err := f.startRunner(lost, runners[lost].address, args...)
		if err != nil {
			return false, err
		}
		f.register(lost, modelEntry(k.address, "dakar-plateau", again.born))
		f.record.printf("%s has started again", lost)
		time.Sleep(2 * time.Second)
		f.record.printf("the cut ends")
		k.heal()
	}
	wg.Wait()

	short, whole, ran := 0, 0, 0
	for i, a := range answers {
		if a.status == 200 && a.complete && a.body == wholeStream(a.id, case8Events) {
			whole++
		} else if a.status/100 == 2 && a.complete {
			short++
			f.record.printf("BROKEN: the stream of %s ended as complete after %d of %d events", a.id, strings.Count(a.body, "\ndata: "), case8Events)
		}
		f.mu.Lock()
		if len(f.runs[a.id]) > 0 && f.runs[a.id][0] == lost && i < case8Streams {
			ran++
		}
		f.mu.Unlock()
	}
	text := fmt.Sprintf("%d streams, %d whole, %d that ended as complete before their last event; %d through front-1 began at %s", len(answers), whole, short, ran, lost)
	f.record.printf("%s", text)
	fmt.Println("case 8: " + text)
	if !trouble && whole != len(answers) {
		return false, nil
	}
	if ran == 0 {
		return false, fmt.Errorf("no stream through front-1 began at %s", lost)
	}
	return short == 0, nil
}
