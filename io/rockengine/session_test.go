package rockengine_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"sassafrasrock/io/rockengine"
)

// Guards against accepting a late or misdirected answer as the answer to the current step.
func TestCheckReply(t *testing.T) {
	req := rockengine.OpenRequest{Epoch: 3}
	later := rockengine.Step{Index: 2, Position: 10, Activations: []uint64{1}}
	prefill := rockengine.Step{Prompt: "a b", Tokens: []uint32{1}}
	cases := []struct {
		name  string
		step  rockengine.Step
		reply rockengine.StepReply
		ok    bool
	}{
		{"right", later, rockengine.StepReply{Epoch: 3, Index: 2, Position: 11}, true},
		{"other epoch", later, rockengine.StepReply{Epoch: 2, Index: 2, Position: 11}, false},
		{"other index", later, rockengine.StepReply{Epoch: 3, Index: 1, Position: 11}, false},
		{"same position", later, rockengine.StepReply{Epoch: 3, Index: 2, Position: 10}, false},
		{"position skipped", later, rockengine.StepReply{Epoch: 3, Index: 2, Position: 12}, false},
		{"activation missing", later, rockengine.StepReply{Epoch: 3, Index: 2, Position: 11, Activations: []uint64{1, 2}}, false},
		{"refused", later, rockengine.StepReply{Epoch: 3, Index: 2, Position: 11, Error: "no"}, false},
		{"prompt", prefill, rockengine.StepReply{Epoch: 3, Position: 3}, true},
		{"prompt without the tokens", prefill, rockengine.StepReply{Epoch: 3, Position: 0}, false},
	}
	for _, test := range cases {
		err := rockengine.CheckReply(req, test.step, test.reply)
		if test.ok != (err == nil) || !test.ok && !errors.Is(err, rockengine.ErrOutOfStep) {
			t.Errorf("%s: got error %v, want none for a matching reply and ErrOutOfStep for any other", test.name, err)
		}
	}
}

// Guards against a line that grows without limit, and against accepting a truncated line as a complete one.
func TestReadLine(t *testing.T) {
	r := bufio.NewReaderSize(strings.NewReader("short\n"+strings.Repeat("x", 60)+"\nrest"), 16)
	if line, err := rockengine.ReadLine(r, 100); err != nil || string(line) != "short" {
		t.Fatalf("got line %q and error %v, want \"short\" and none", line, err)
	}
	if line, err := rockengine.ReadLine(r, 100); err != nil || len(line) != 60 {
		t.Fatalf("got line %q and error %v, want 60 bytes and no error", line, err)
	}
	if _, err := rockengine.ReadLine(r, 100); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("truncated line: got error %v, want an unexpected EOF", err)
	}
	long := bufio.NewReaderSize(strings.NewReader(strings.Repeat("x", 200)), 16)
	if _, err := rockengine.ReadLine(long, 100); !errors.Is(err, rockengine.ErrTooLarge) {
		t.Fatalf("long line: got error %v, want ErrTooLarge", err)
	}
}

// Guards against prefix hashes that differ between prompts with the same prefix.
func TestPrefixHashes(t *testing.T) {
	words := strings.Repeat("w ", rockengine.PrefixBlock)
	short, long := rockengine.PrefixHashes(words), rockengine.PrefixHashes(words+words+"end")
	if len(short) != 1 || len(long) != 2 || short[0] != long[0] || long[0] == long[1] {
		t.Fatalf("got hashes %v and %v, want one and two with the same first hash", short, long)
	}
}
