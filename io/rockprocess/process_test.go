package rockprocess

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	// The programs are imported so that a change of them ends the caching of test results.
	_ "sassafrasrock/io/rockcommand"
	_ "sassafrasrock/io/rockdaemon"
	_ "sassafrasrock/io/rockdemo"
)

// binaries is the folder with the programs, built once.
var binaries string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "rockprocess")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "sassafrasrock/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, fmt.Errorf("building the programs: %w", err)
	}
	binaries = dir
	return m.Run(), nil
}

// process is one program that a test started; only it is ever signalled, through its handle.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{} // closed when the process has ended and was waited for
}

// logBuffer holds what a process wrote to its standard error.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start starts a program; it is killed when the test ends, or when the test process dies.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: new(logBuffer), done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit code is read from ProcessState
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.log.String()))
		}
	})
	return p
}

func tail(text string) string {
	const kept = 4000
	return text[max(0, len(text)-kept):]
}

// signal sends a signal; it does nothing once the process was waited for.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process, also a stopped one, and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// address waits until the process has logged an address under a key and returns it.
func (p *process) address(key string) string {
	p.t.Helper()
	pattern := regexp.MustCompile(` ` + key + `=(127\.0\.0\.1:\d+)`)
	var found []string
	eventually(p.t, p.name+" logs "+key, func() bool {
		if !p.isRunning() {
			p.t.Fatalf("%s has ended: %s", p.name, p.log)
		}
		found = pattern.FindStringSubmatch(p.log.String())
		return found != nil
	})
	return found[1]
}

// patience is how long a test waits for a condition; a run that needs longer has failed.
const patience = 40 * time.Second

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, patience)
		}
	}
}

// exit waits until the process has ended and returns its exit code, or -1 if a signal ended it.
func (p *process) exit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		p.t.Fatalf("%s has not ended within %s", p.name, patience)
	}
	return p.cmd.ProcessState.ExitCode()
}

// logged returns how many lines of the log contain all words.
func (p *process) logged(words ...string) int {
	n := 0
	for line := range strings.Lines(p.log.String()) {
		all := true
		for _, word := range words {
			all = all && strings.Contains(line, word)
		}
		if all {
			n++
		}
	}
	return n
}
