package rockplatform_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"sassafrasrock/io/rockplatform"
	"sassafrasrock/io/rockstandin"
)

// Guards against operations that time out one after another, each on another idle connection, after
// all connections have stopped responding.
func TestSilentConnectionsCostOneOperation(t *testing.T) {
	s, err := rockstandin.Start(context.Background(), rockstandin.Settings{Platform: rockstandin.PlatformSettings{ReadMs: 100}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	p := rockplatform.New(s.PlatformURL())
	t.Cleanup(p.Close)
	var reads sync.WaitGroup
	for range 4 { // concurrently, which makes each read open a connection
		reads.Go(func() {
			if _, err := p.Hosts(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
	reads.Wait()
	if err := s.Fault(rockstandin.Fault{Target: "platform", Kind: rockstandin.FaultSilent}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := p.Hosts(ctx); err == nil {
		t.Fatal("read over a silent connection succeeded, want a timeout")
	}
	if _, err := p.Hosts(context.Background()); err != nil {
		t.Errorf("operation after the one that timed out: %v", err)
	}
}
