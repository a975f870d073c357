package rockrelay

import (
	"context"
	"time"

	"sassafrasrock/core/rockstream"
)

const (
	// endChecks is the number of times that a backend server is asked for its process before its answer counts as
	// complete. Each one may take reportTimeout.
	endChecks = 3
	// endCheckPause is the time between two of them. A process that ends may accept a connection until its socket is closed.
	endCheckPause = 50 * time.Millisecond
)

// confirmEnd returns errServerEnded if an answer ended with its connection because the process of the backend server
// ended. Answers with a length or chunks show their end themselves.
func (x *exchange) confirmEnd(ctx context.Context, a Attempt, resp *Response) error {
	if !resp.EndsWithConnection {
		return nil
	}
	var err error
	for n := range endChecks {
		if n > 0 {
			pause(ctx, endCheckPause)
		}
		var now rockstream.Process
		now, err = x.fetchProcess(ctx, a)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
		case rockstream.IsCutOff(a.Incarnation, now):
			x.log("answer ended with the process of its backend server", "server", a.ServerName, "gone", now.Gone,
				"incarnation", now.Incarnation, "want", a.Incarnation)
			return errServerEnded
		default:
			return nil
		}
	}
	x.log("answer without a length counts as complete, its backend server does not tell of its process", "server", a.ServerName, "error", err.Error())
	return nil
}

func (x *exchange) fetchProcess(ctx context.Context, a Attempt) (rockstream.Process, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return x.relay.FetchProcess(ctx, a)
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
