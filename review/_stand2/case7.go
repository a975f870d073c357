package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["7"] = case7 }

const (
	case7Parts  = 20
	case7PartMs = 100
	case7Calls  = 12 // of each kind
)

// case7 cuts a runner of the plain service off while it sends answers without a length. It crashes behind the cut and
// starts again at its address.
func case7(trouble bool) (bool, error) {
	f, err := newFleet("review/7/record.txt")
	if err != nil {
		return false, err
	}
	defer f.close()
	m := manifest(3)
	for _, r := range m["routes"].([]map[string]any) {
		if r["service"] == deskService {
			r["timeoutMs"] = 5000
		}
	}
	f.store.write("op", "config", m)
	args := []string{"-work", "30", "-parts", fmt.Sprint(case7Parts), "-part-ms", fmt.Sprint(case7PartMs), "-unframed"}
	address := freeAddress()
	first, err := f.startRunner("i-1", address, args...)
	if err != nil {
		return false, err
	}
	k, err := newLink(address)
	if err != nil {
		return false, err
	}
	f.register("i-1", plainEntry(k.address, "dakar-plateau", first.born))
	for _, name := range []string{"i-2", "i-3", "i-4"} {
		r, err := f.startRunner(name, "127.0.0.1:0", args...)
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
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	answers := make([]answer, 2*case7Calls)
	for i := range answers {
		method, path := "POST", prefixPay
		if i%2 == 1 {
			method, path = "GET", prefixRead
		}
		wg.Go(func() {
			id := newID()
			body := ""
			if method == "POST" {
				body = "pay " + id
			}
			f.record.printf("sent %s %s%s to %s", id, method, path, hosts[i/2%2].name)
			answers[i] = f.ask(context.Background(), hosts[i/2%2].front, method, path+"sq/"+id, id, 5*time.Second, body)
			f.recordAnswer(answers[i])
		})
	}
	if trouble {
		time.Sleep(800 * time.Millisecond)
		f.record.printf("i-1 is cut off")
		k.cut()
		time.Sleep(200 * time.Millisecond)
		f.record.printf("i-1 crashes behind the cut")
		_ = first.cmd.Process.Kill()
		time.Sleep(2 * time.Second)
		again, err := f.startRunner("i-1", address, args...)
		if err != nil {
			return false, err
		}
		f.register("i-1", plainEntry(k.address, "dakar-plateau", again.born))
		f.record.printf("i-1 has started again and has written its entry")
		time.Sleep(700 * time.Millisecond)
		f.record.printf("the cut ends")
		k.heal()
	}
	wg.Wait()

	short, whole, ran := 0, 0, 0
	for _, a := range answers {
		if a.status == 200 && a.complete && a.body == wholeAnswer(a.id, case7Parts) {
			whole++
		} else if a.status/100 == 2 && a.complete {
			short++
			f.record.printf("BROKEN: the answer to %s has %d of %d bytes, a proof, and ended as whole", a.id, len(a.body), len(wholeAnswer(a.id, case7Parts)))
		}
		f.mu.Lock()
		for _, name := range f.runs[a.id] {
			if name == "i-1" {
				ran++
			}
		}
		f.mu.Unlock()
	}
	f.record.printf("%d requests, %d whole answers, %d short ones that ended as whole; %d ran at i-1", len(answers), whole, short, ran)
	fmt.Printf("case 7: %d requests, %d whole answers, %d short ones that ended as whole; %d ran at i-1\n", len(answers), whole, short, ran)
	if !trouble && whole != len(answers) {
		return false, nil
	}
	if ran == 0 {
		return false, fmt.Errorf("no request ran at i-1")
	}
	return short == 0, nil
}
