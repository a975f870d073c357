package rockrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an attempt whose end makes others on the same backend server count that server as silent, because they
// share the report that it was fetching.
func TestEndedAttemptBreaksNoSharedReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, streaming)
		b.FetchWaiting = func(ctx context.Context, _ string) (map[string]string, error) {
			select {
			case <-time.After(5 * time.Millisecond):
				return nil, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		ending, end := context.WithCancel(t.Context())
		go func() { _, _ = b.waitingFor(ending, "r1:80", "a") }()
		time.Sleep(2 * time.Millisecond)
		end()
		time.Sleep(10 * time.Millisecond) // the report stays in use for longer
		if _, err := b.waitingFor(t.Context(), "r1:80", "b"); err != nil {
			t.Errorf("got error %v from the shared report, want none", err)
		}
	})
}
