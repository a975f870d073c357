package rockfollow_test

import (
	"strings"
	"testing"
	"time"
)

// Guards against a copy that falls behind the store without a line in the log that says so.
func TestUnconfirmedCopyIsLogged(t *testing.T) {
	f := newFleet(t, 1, 4)
	f.run(settlingTime)
	f.store.silent = true
	f.run(5 * time.Second)
	lost, waiting := f.copyChanges("unconfirmed"), f.copyChanges("unconfirmed: read since")
	f.store.silent = false
	f.run(5 * time.Second)
	if regained := f.copyChanges("confirmed"); waiting == 0 || regained != lost {
		t.Errorf("%d copies became unconfirmed, %d of them while a read was not answered, and %d were confirmed afterwards; want each one, and some that waited for a read", lost, waiting, regained)
	}
}

// copyChanges counts the changes of copies to a state that begins with a text.
func (f *fleet) copyChanges(to string) int {
	n := 0
	for _, c := range f.changes {
		if c.What == "copy" && strings.HasPrefix(c.To, to) {
			n++
		}
	}
	return n
}
