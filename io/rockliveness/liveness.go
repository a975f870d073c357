package rockliveness

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"sassafrasrock/core/rockstream"
)

const (
	// maxChecks is the number of times that a backend server is asked, and checkTimeout the longest wait for an answer.
	maxChecks    = 3
	checkTimeout = 150 * time.Millisecond
	// checkPause is the time between two of them.
	checkPause = 50 * time.Millisecond
	// keptConnection is the time for which a process that runs keeps a connection without a request. One that ends may
	// accept a connection just before its socket is closed.
	keptConnection = 20 * time.Millisecond
)

// Find asks for the process of a backend server until it is known, a few times at most. A refused connection shows that
// the process is gone. The error is that of the context, or the last one of ask; then nothing is known.
func Find(ctx context.Context, ask func(ctx context.Context) (rockstream.Process, error)) (rockstream.Process, error) {
	var err error
	for n := range maxChecks {
		if n > 0 {
			pause(ctx, checkPause)
		}
		var process rockstream.Process
		process, err = check(ctx, ask)
		switch {
		case ctx.Err() != nil:
			return rockstream.Process{}, ctx.Err()
		case errors.Is(err, syscall.ECONNREFUSED):
			return rockstream.Process{Gone: true}, nil
		case err == nil:
			return process, nil
		}
	}
	return rockstream.Process{}, err
}

func check(ctx context.Context, ask func(ctx context.Context) (rockstream.Process, error)) (rockstream.Process, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return ask(ctx)
}

// Connect opens a connection to an address and returns an error if that fails or the connection ends at once. It sends no
// request, which could take a slot of the backend server. The incarnation of the process stays unknown.
func Connect(ctx context.Context, address string) (rockstream.Process, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return rockstream.Process{}, err
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(keptConnection))
	if _, err = conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return rockstream.Process{}, nil
	}
	return rockstream.Process{}, err
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
