package rockrelay

import (
	"context"

	"sassafrasrock/core/rockstream"
	"sassafrasrock/io/rockliveness"
)

// confirmEnd returns errServerEnded if an answer ended with its connection because the process of the backend server
// ended. Answers with a length or chunks show their end themselves.
func (x *exchange) confirmEnd(ctx context.Context, a Attempt, resp *Response) error {
	if !resp.EndsWithConnection {
		return nil
	}
	now, err := rockliveness.Find(ctx, func(ctx context.Context) (rockstream.Process, error) { return x.relay.FetchProcess(ctx, a) })
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		x.log("answer without a length counts as complete, its backend server does not tell of its process", "server", a.ServerName, "error", err.Error())
		return nil
	case rockstream.IsCutOff(a.Incarnation, now):
		x.log("answer ended with the process of its backend server", "server", a.ServerName, "gone", now.Gone,
			"incarnation", now.Incarnation, "want", a.Incarnation)
		return errServerEnded
	}
	return nil
}
