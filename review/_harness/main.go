// Command harness plays one case of the review: it starts the store, runners and consumers as stand-ins, and the entry
// program as processes on loopback addresses.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	trouble = os.Getenv("TROUBLE") != "0"
	record  *bufio.Writer
	logged  sync.Mutex
	begun   = time.Now()
	folder  string // temporary files
	entries []*entry
	ending  atomic.Bool // the case ends: no process is started any more
)

// maxRun is the longest time that a case may take.
const maxRun = 110 * time.Second

// cases are the cases by name. A case returns whether the rule held.
var cases = map[string]func() bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	record = bufio.NewWriter(file)
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		fail("%v", err)
	}
	time.AfterFunc(maxRun, func() { fail("the case took too long") })
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		<-signals
		fail("stopped by a signal")
	}()
	held := cases[os.Args[1]]()
	note("rule held: %v", held)
	if held {
		end(exitHeld)
	}
	end(exitBroken)
}

// end ends all processes that were started, and this one.
func end(code int) {
	if ending.Swap(true) {
		select {} // another goroutine ends the case
	}
	for _, e := range entries {
		e.mu.Lock()
		if e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
		}
		<-e.done
		e.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
	logged.Lock()
	_ = record.Flush()
	os.Exit(code)
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	note("not run: "+format, args...)
	end(exitNotRun)
}

// note writes a line to the record.
func note(format string, args ...any) {
	logged.Lock()
	defer logged.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(record, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

// entry is an entry host that runs as a process.
type entry struct {
	name, callers, ready string
	settings             string
	memoryEnds           atomic.Int64 // how often the process was killed because of its memory

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed after the process has ended
}

// startEntry starts the program with the command of the deploy file and settings like those of a small deployment.
func startEntry(s *store, name, zone string) *entry {
	e := &entry{name: name, callers: freeAddress(), ready: freeAddress(), settings: filepath.Join(folder, name+".json")}
	text := fmt.Sprintf(`{
  "host": %q, "dataCentre": %q, "region": "dakar",
  "callersAddress": %q, "readyAddress": %q, "metricsAddress": %q, "peersAddress": %q, "operatorsAddress": %q,
  "platformUrl": "http://%s",
  "limits": {"platformPushes": true, "retryWindowMs": 10000, "retryRatio": 0.2, "retryBurst": 200, "overloadRetryMs": 4000,
    "leaseTtlMs": 5000, "orderTimeoutMs": 2500, "drainNoticeMs": 3000}
}`, name, zone, e.callers, e.ready, freeAddress(), freeAddress(), freeAddress(), s.address)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	entries = append(entries, e)
	if !e.start() {
		select {} // the case ends
	}
	return e
}

// start starts the process. It returns false while the case ends.
func (e *entry) start() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ending.Load() {
		return false
	}
	e.cmd = exec.Command("target/sassafrasrock-entry", e.settings)
	log, err := os.OpenFile(filepath.Join(folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.done = make(chan struct{})
	if err := e.cmd.Start(); err != nil {
		close(e.done)
		go fail("start of %s: %v", e.name, err)
		return false
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		log.Close()
		note("process of %s ended: %v", e.name, err)
		close(done)
	}(e.cmd, e.done)
	return true
}

// freeAddress returns a loopback address that is free now, below the ports of outgoing connections.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+int(nextPort.Add(1))%15000))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	fail("no free port")
	return ""
}

func (e *entry) signal(sig syscall.Signal) {
	note("signal %v to %s", sig, e.name)
	_ = e.cmd.Process.Signal(sig)
}

// waitReady waits until the host says that it is ready.
func (e *entry) waitReady() {
	for range 300 {
		resp, err := http.Get("http://" + e.ready + "/-/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				note("%s is ready", e.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail("%s is not ready after 15 s", e.name)
}

// residentMB returns the resident memory of the process in MB, now and at its peak.
func (e *entry) residentMB() (now, peak int) {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range bytes.Lines(data) {
		fields := strings.Fields(string(line))
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}
