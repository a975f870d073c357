package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
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

// fleet is a small deployment: a store, entry hosts and runners, all on loopback addresses.
type fleet struct {
	dir    string
	store  *store
	record *record

	mu      sync.Mutex
	cmds    []*exec.Cmd
	runs    map[string][]string // names of the runners that ran a request, by its id
	entries map[string]map[string]any
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.f, line)
}

func newFleet(recordFile string) (*fleet, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	fl := &fleet{dir: dir, store: s, record: &record{f: f, start: time.Now()}, runs: make(map[string][]string), entries: make(map[string]map[string]any)}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		fl.close()
		os.Exit(2)
	}()
	return fl, nil
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	cmds := f.cmds
	f.mu.Unlock()
	for _, c := range cmds {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	for _, c := range cmds {
		_, _ = c.Process.Wait()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) start(cmd *exec.Cmd) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	f.cmds = append(f.cmds, cmd)
	return nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return a
		}
	}
}

// entry is an entry host, run as the deploy file says with the template of its settings.
type entry struct {
	name, front, ready string
	memoryMB           int
	cmd                *exec.Cmd
	log                string
	ended              atomic.Bool
	done               chan struct{}
	settings           string
}

// template fills in deploy/settings.json as the platform does.
func (f *fleet) newEntry(name, zone string) (*entry, error) {
	data, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return nil, err
	}
	e := &entry{name: name, front: freeAddress(), ready: freeAddress(), memoryMB: 284}
	ports := []string{port(freeAddress()), port(freeAddress())}
	text := strings.NewReplacer(
		"{{nodeName|json}}", strconv.Quote(name), "{{zone|json}}", strconv.Quote(zone), "{{region|json}}", `"dakar"`,
		"{{listen.front|json}}", strconv.Quote(e.front), "{{listen.ready|json}}", strconv.Quote(e.ready),
		"{{ip}}:9464", freeAddress(), "{{ip}}", "127.0.0.1", "{{internalPorts.0}}", ports[0], "{{internalPorts.1}}", ports[1],
		"{{platform.addr}}", f.store.address, "{{limits.memoryMb|json}}", strconv.Itoa(e.memoryMB),
		"{{bounds.budgetWindowS|json}}", "10", "{{bounds.retryBudgetRatio|json}}", "0.2", "{{bounds.retryBudgetMin|json}}", "200", "{{bounds.graceS|json}}", "8",
	).Replace(string(data))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("a placeholder of the template is not filled in: %s", text)
	}
	e.settings = filepath.Join(f.dir, name+".yaml")
	e.log = filepath.Join(f.dir, name+".log")
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return e, f.startEntry(e)
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

func (f *fleet) startEntry(e *entry) error {
	log, err := os.OpenFile(e.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/sassafrasrock-entry", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.done = make(chan struct{})
	e.ended.Store(false)
	if err := f.start(e.cmd); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		e.ended.Store(true)
		close(done)
	}(e.cmd, e.done)
	return nil
}

// isReady asks an entry host as the platform does.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + e.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// memory returns the resident memory of the process, and its largest value so far, in MB.
func (e *entry) memory() (now, most int) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			most = kb / 1024
		}
	}
	return now, most
}

// owns reports whether the process has the channel between two addresses, by the tables of the kernel.
func (e *entry) owns(local, remote string) bool {
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], hexPort(local)) || !strings.HasSuffix(fields[2], hexPort(remote)) {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid)
		entries, _ := os.ReadDir(dir)
		for _, d := range entries {
			if target, err := os.Readlink(filepath.Join(dir, d.Name())); err == nil && target == "socket:["+fields[9]+"]" {
				return true
			}
		}
	}
	return false
}

func hexPort(address string) string {
	n, _ := strconv.Atoi(port(address))
	return fmt.Sprintf(":%04X", n)
}

func waitFor(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, limit)
}

// runnerProcess is a runner that runs as a process.
type runnerProcess struct {
	name, address string // of the process; the entry may name a proxy
	born          int64
	cmd           *exec.Cmd
}

// startRunner starts a runner process and returns when it listens.
func (f *fleet) startRunner(name, address string, args ...string) (*runnerProcess, error) {
	born := time.Now().UnixMilli()
	all := append([]string{"runner", "-name", name, "-address", address, "-born", strconv.FormatInt(born, 10)}, args...)
	cmd := exec.Command(os.Args[0], all...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := f.start(cmd); err != nil {
		return nil, err
	}
	r := &runnerProcess{name: name, born: born, cmd: cmd}
	lines := bufio.NewScanner(out)
	if !lines.Scan() || !strings.HasPrefix(lines.Text(), "listening ") {
		return nil, fmt.Errorf("runner %s does not listen", name)
	}
	r.address = strings.TrimPrefix(lines.Text(), "listening ")
	go func() {
		for lines.Scan() {
			f.runnerLine(name, lines.Text())
		}
	}()
	return r, nil
}

// holders returns the number of runners whose entries have layers.
func (f *fleet) holders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.entries {
		if e["layers"] != nil {
			n++
		}
	}
	return n
}

// firstHolder returns the first runner by name that holds the first layer.
func (f *fleet) firstHolder() string { return f.holder("from", 0) }

// lastHolder returns the first runner by name that holds the last layer.
func (f *fleet) lastHolder() string { return f.holder("to", modelLayers) }

func (f *fleet) holder(field string, value int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := ""
	for name, e := range f.entries {
		if layers, ok := e["layers"].(map[string]any); ok && layers[field] == value && (found == "" || name < found) {
			found = name
		}
	}
	return found
}

// register writes the entry of a runner at an address.
func (f *fleet) register(name string, e map[string]any) {
	f.mu.Lock()
	f.entries[name] = e
	f.mu.Unlock()
	f.store.write("servers", name, e)
}

func (f *fleet) runnerLine(name, line string) {
	fields := strings.Fields(line)
	switch {
	case len(fields) >= 2 && fields[0] == "run":
		f.mu.Lock()
		f.runs[fields[1]] = append(f.runs[fields[1]], name)
		f.mu.Unlock()
		f.record.printf("%s runs %s", name, strings.Join(fields[1:], " "))
	case len(fields) == 2 && fields[0] == "cut":
		f.record.printf("%s cuts off %s", name, fields[1])
	case line == "left":
		f.record.printf("%s has ended all that it served, and exits", name)
	case len(fields) == 4 && fields[0] == "layers":
		f.record.printf("%s takes the order to hold layers %s to %s", name, fields[1], fields[2])
		f.mu.Lock()
		e := f.entries[name]
		from, _ := strconv.Atoi(fields[1])
		to, _ := strconv.Atoi(fields[2])
		sequence, _ := strconv.Atoi(fields[3])
		e["layers"], e["sequence"] = map[string]any{"from": from, "to": to, "version": 1}, sequence+1
		f.mu.Unlock()
		f.store.write("servers", name, e)
	}
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

// answer is what a consumer got.
type answer struct {
	id       string
	status   int // 0: no answer
	body     string
	complete bool // the answer ended as whole
	proof    string
	kept     bool // it was sent on a channel that had been used before
	err      error
	took     time.Duration
}

// ask sends one request on a channel of its own and reads the answer to its end.
func (f *fleet) ask(ctx context.Context, front, method, path, id string, deadline time.Duration, body string) answer {
	return f.askOn(ctx, &http.Transport{DisableKeepAlives: true, DisableCompression: true}, front, method, path, id, deadline, body)
}

// askOn is ask on the channels of a consumer.
func (f *fleet) askOn(ctx context.Context, channels *http.Transport, front, method, path, id string, deadline time.Duration, body string) answer {
	begin := time.Now()
	a := answer{id: id}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = routeHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("X-Credential", tenantKey)
	if strings.HasPrefix(path, prefixDraft) || strings.HasPrefix(path, prefixNight) {
		req.Header.Set("X-Model", modelName)
		req.Header.Set("X-Token-Counts", "760,400")
		req.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,"+id+":720")
	}
	resp, err := (&http.Client{Transport: channels}).Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(begin)
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.body, a.complete, a.err = resp.StatusCode, string(data), err == nil, err
	a.proof, a.took = resp.Header.Get("X-Runner-Signature"), time.Since(begin)
	return a
}

func (f *fleet) recordAnswer(a answer) {
	f.record.printf("answer to %s: status %d, %d bytes, complete %t, proof %q, after %d ms, error %v", a.id, a.status, len(a.body), a.complete, a.proof, a.took.Milliseconds(), a.err)
}
