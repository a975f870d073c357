package rockdaemon

import (
	"context"
	"syscall"
	"testing"
	"time"
)

// Guards against a stop that a SIGHUP cuts short: the signal ends a process whose handler has been removed.
func TestHangupDuringTheEndOfAStop(t *testing.T) {
	d := &Daemon{}
	WithSettingsFile("no-such-file")(d)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, task := range d.tasks {
		task(ctx, d)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // without a handler the test process has ended by now
}
