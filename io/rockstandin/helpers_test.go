package rockstandin_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockstandin"
)

// testTimeout is the longest wait for a condition. Only failing tests reach it.
const testTimeout = 30 * time.Second

const prompt = "count the masts in the harbour and name the tallest one"

// ranges are the layer ranges of the engines a, b and c.
var ranges = map[string][2]int{"a": {0, 2}, "b": {3, 5}, "c": {6, 8}}

// settings returns the settings of a stand-in with one engine for each range and one application server,
// on ports that the kernel assigns.
func settings() rockstandin.Settings {
	s := rockstandin.Settings{
		Seed:         1,
		Engine:       rockstandin.EngineTiming{RestartMs: 10},
		Kinds:        []rockstandin.KindSettings{{Name: "levanter", StepMs: 1}},
		Applications: []rockstandin.ApplicationSettings{{Name: "app", DataCentre: "ga-west-a", Region: "ga-west"}},
	}
	for _, name := range []string{"a", "b", "c"} {
		s.Engines = append(s.Engines, rockstandin.EngineSettings{
			Name: name, DataCentre: "ga-west-a", Region: "ga-west", Kind: "levanter", Model: "windsock-9", Version: "1",
			FirstLayer: ranges[name][0], LastLayer: ranges[name][1], Layers: 9,
			Slots: 4, QueueSize: 4, CacheBlocks: 8, ChecksFencing: name != "c",
		})
	}
	return s
}

func start(t *testing.T, s rockstandin.Settings) *rockstandin.Standin {
	t.Helper()
	standin, err := rockstandin.Start(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.Close)
	return standin
}

func fault(t *testing.T, s *rockstandin.Standin, f rockstandin.Fault) {
	t.Helper()
	if err := s.Fault(f); err != nil {
		t.Fatal(err)
	}
}

func timeoutContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// engineClient returns a client that detects silent connections within 200 ms.
func engineClient(t *testing.T) *rockengine.Engine {
	e := rockengine.New(rockengine.WithPing(100*time.Millisecond, 100*time.Millisecond))
	t.Cleanup(e.Close)
	return e
}

func open(t *testing.T, e *rockengine.Engine, s *rockstandin.Standin, name, request string) (*rockengine.Session, error) {
	t.Helper()
	return e.Open(timeoutContext(t), s.Address(name), rockengine.OpenRequest{
		Request: request, Epoch: 3, Model: "windsock-9", Version: "1", FirstLayer: ranges[name][0], LastLayer: ranges[name][1],
	})
}

func mustOpen(t *testing.T, e *rockengine.Engine, s *rockstandin.Standin, name, request string) *rockengine.Session {
	t.Helper()
	session, err := open(t, e, s, name, request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(session.Close)
	return session
}

// generate runs a prompt through the stages in the given order and returns the texts of up to n tokens.
func generate(t *testing.T, stages []*rockengine.Session, prompt string, n int) []string {
	t.Helper()
	var texts []string
	position := 0
	step := rockengine.Step{Prompt: prompt}
	for index := range n {
		var reply rockengine.StepReply
		for _, stage := range stages {
			step.Index, step.Position = index, position
			var err error
			if reply, err = stage.Step(timeoutContext(t), step); err != nil {
				t.Fatal(err)
			}
			step = rockengine.Step{Activations: reply.Activations}
		}
		texts = append(texts, reply.Text)
		if reply.Done {
			break
		}
		position = reply.Position
		step = rockengine.Step{Tokens: []uint32{reply.Token}}
	}
	return texts
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", testTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func checkEqual(t *testing.T, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("got %q, want %q", got, want)
	}
}
