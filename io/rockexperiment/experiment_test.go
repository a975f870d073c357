package rockexperiment

import "testing"

// Guards against a missed target that is reported as met, and against the reverse.
func TestEvaluate(t *testing.T) {
	for _, test := range []struct {
		record Record
		want   bool
	}{
		{Record{Relation: AtLeast, PolicyValue: 0.89, Target: 0.9}, false},
		{Record{Relation: AtLeast, PolicyValue: 0.9, Target: 0.9}, true},
		{Record{Relation: AtMost, PolicyValue: 2.1, Target: 2}, false},
		{Record{Relation: AtMost, PolicyValue: 2, Target: 2}, true},
		{Record{PolicyValue: 5}, true},
	} {
		if got := test.record.Evaluate().Met; got != test.want {
			t.Errorf("Evaluate of %+v: got Met %t, want %t", test.record, got, test.want)
		}
	}
}
