// Command review3 plays the platform's store, the runners and the consumers for the cases in review/, and starts the entry
// program. It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// env is what a case runs in.
type env struct {
	rec     *record
	dir     string // temporary
	store   *store
	hosts   []*host
	trouble bool
}

// cases are the cases by number. Each reports whether the rule was broken.
var cases = map[string]func(e *env) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, file string) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	e := &env{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer e.stop()
	if e.store, err = newStore(hostIP(200)); err == nil {
		var broken bool
		if broken, err = cases[name](e); err == nil {
			rec.line("broken: %t", broken)
			if broken {
				return 1
			}
			return 0
		}
	}
	rec.line("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	e.showLogs()
	return 2
}

// stop ends all processes.
func (e *env) stop() {
	for _, h := range e.hosts {
		h.kill()
	}
	if os.Getenv("SHOW") != "" {
		e.showLogs()
	}
}

func (e *env) showLogs() {
	files, _ := filepath.Glob(filepath.Join(e.dir, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		fmt.Fprintf(os.Stderr, "%s\n%s\n", f, data[max(0, len(data)-4000):])
	}
}

// startHosts starts entry hosts, one for each zone that is named, and waits until they are ready.
func (e *env) startHosts(zones ...string) error {
	for i, zone := range zones {
		h, err := startHost(i+1, zone, e.dir, e.store.addr)
		if err != nil {
			return err
		}
		e.hosts = append(e.hosts, h)
		e.rec.line("host %s started", h.name)
	}
	for _, h := range e.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	e.rec.line("all hosts are ready")
	return nil
}
