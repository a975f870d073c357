package rockstream

import "testing"

// Guards against a sound backend server whose answers count as cut off, and against one whose process has ended and whose
// answers count as complete.
func TestIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		sender uint64
		now    Process
		want   bool
	}{
		"same process":        {7, Process{Incarnation: 7}, false},
		"other process":       {7, Process{Incarnation: 8}, true},
		"gone":                {7, Process{Gone: true}, true},
		"gone, never named":   {0, Process{Gone: true}, true},
		"no incarnation told": {7, Process{}, false},
		"sender never named":  {0, Process{Incarnation: 8}, false},
	} {
		if got := IsCutOff(c.sender, c.now); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
