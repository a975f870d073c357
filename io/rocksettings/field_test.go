package rocksettings_test

import (
	"strings"
	"testing"

	"sassafrasrock/io/rocksettings"
)

// Guards against a deeply nested file that overflows the stack of the command line while it looks for the file's kind,
// and against a file with an error whose kind is not found.
func TestHasField(t *testing.T) {
	for name, c := range map[string]struct {
		data string
		want bool
	}{
		"present":           {`{"host": "a"} // of an entry host`, true},
		"in another object": {`{"limits": {"host": "a"}}`, false},
		"syntax error":      {`{"host": `, true},
		"deeply nested":     {strings.Repeat("[", 1<<20), false},
	} {
		if got := rocksettings.HasField([]byte(c.data), "host"); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
