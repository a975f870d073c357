package rockmemory

import (
	"math"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a host that takes more memory than a group around its own allows.
func TestGroupLimit(t *testing.T) {
	root := t.TempDir()
	write := func(name, text string) string {
		name = filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	group := write("self", "4:memory:/old\n0::/a/b\n")
	if got := groupLimit(group, root); got != math.MaxInt64 {
		t.Errorf("got limit %d without a file, want none", got)
	}
	write("a/b/memory.max", "max\n")
	write("a/memory.max", "300000000\n")
	write("memory.max", "900000000\n")
	if got := groupLimit(group, root); got != 300000000 {
		t.Errorf("got limit %d, want that of the group around", got)
	}
	if got := ProcessBytes(284 * mb); got != 284*mb {
		t.Errorf("got %d bytes, want the setting", got)
	}
	// Garbage and the program need the rest.
	if a, p := AccountLimit(284*mb), int64(284*mb); a < p/3 || a > p*heapPercent/100-64*mb {
		t.Errorf("an account of %d for a process of %d bytes", a, p)
	}
}
