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

	// These imports make the cached test results depend on the code of the programs, which are
	// built outside of the test binary.
	_ "sassafrasrock/io/rockcommand"
	_ "sassafrasrock/io/rockdaemon"
	_ "sassafrasrock/io/rockdemo"
)

// binaries is the folder of the programs, which TestMain builds once.
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

// process is a program that a test started. Tests send signals only through its handle, never by
// name or process ID.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{} // closed when the process has exited and was waited for
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

// startProcess starts a program. It is killed when the test ends or the test process dies.
func startProcess(t *testing.T, name, program string, args ...string) *process {
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
	const maxLength = 4000
	return text[max(0, len(text)-maxLength):]
}

// signal sends a signal. It does nothing once the process has exited and was waited for.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process, even if it is suspended, and waits until it has exited.
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

// loggedAddress waits until the process has logged an address with the given key and returns the
// address.
func (p *process) loggedAddress(key string) string {
	p.t.Helper()
	pattern := regexp.MustCompile(` ` + key + `=(127\.0\.0\.1:\d+)`)
	var found []string
	eventually(p.t, p.name+" logs "+key, func() bool {
		if !p.isRunning() {
			p.t.Fatalf("%s exited before it logged the address: %s", p.name, p.log)
		}
		found = pattern.FindStringSubmatch(p.log.String())
		return found != nil
	})
	return found[1]
}

// conditionTimeout is how long a test waits for a condition before it fails.
const conditionTimeout = 40 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition %q not met within %s", what, conditionTimeout)
		}
	}
}

// waitForExit waits until the process has exited and returns its exit code, or -1 if a signal
// terminated it.
func (p *process) waitForExit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(conditionTimeout):
		p.t.Fatalf("%s has not exited within %s", p.name, conditionTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// countLogLines returns the number of log lines that contain all the words.
func (p *process) countLogLines(words ...string) int {
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
