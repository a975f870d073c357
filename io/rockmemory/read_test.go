package rockmemory

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against bodies that are changed or cut on the way into memory, and against memory that is taken without being
// counted.
func TestReadAll(t *testing.T) {
	reset := errors.New("reset")
	for _, size := range []int{0, 1, firstStepBytes, firstStepBytes + 1, stepBytes, 3*stepBytes + 5} {
		text := strings.Repeat("x", size)
		for _, c := range []struct {
			name   string
			source io.Reader
			length int64
			want   error
		}{
			{"declared", strings.NewReader(text), int64(size), nil},
			{"end with the last byte", iotest.DataErrReader(strings.NewReader(text)), int64(size), nil},
			{"not declared", iotest.OneByteReader(strings.NewReader(text)), -1, nil},
			{"not declared, end with the last byte", iotest.DataErrReader(strings.NewReader(text)), -1, nil},
			{"shorter than declared", strings.NewReader(text), int64(size) + 1, io.ErrUnexpectedEOF},
			{"broken off", io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, io.ErrUnexpectedEOF},
			{"reset", io.MultiReader(strings.NewReader(text), iotest.ErrReader(reset)), int64(size) + 1, reset},
		} {
			a := New(10 * mb)
			r := Reader{Source: c.source, Held: a.Open()}
			body, err := r.ReadAll(c.length)
			if !errors.Is(err, c.want) || c.want == nil && string(body) != text {
				t.Errorf("%s, %d bytes: got %d bytes and error %v, want error %v", c.name, size, len(body), err, c.want)
			}
			if c.want == nil && a.Used() < int64(cap(body)) {
				t.Errorf("%s: %d bytes are counted for a buffer of %d", c.name, a.Used(), cap(body))
			}
		}
	}
}

// Guards against a body that is read although there is no room for it.
func TestReadAllWithoutRoom(t *testing.T) {
	for _, length := range []int64{20 * mb, -1} {
		a := New(8 * mb)
		source := strings.NewReader(strings.Repeat("x", 20*mb))
		r := Reader{Source: source, Held: a.Open()}
		if _, err := r.ReadAll(length); !errors.Is(err, ErrNoRoom) {
			t.Errorf("length %d: got error %v, want ErrNoRoom", length, err)
		}
		if read := 20*mb - source.Len(); read > 8*mb || length > 0 && read > 0 {
			t.Errorf("length %d: read %d bytes", length, read)
		}
	}
}

// Guards against a short body that is refused although memory was reserved for it before, and against giving that memory
// back twice.
func TestPrepaidBytes(t *testing.T) {
	for _, c := range []struct {
		size, length, used int64
	}{{1000, 1000, 0}, {1000, -1, 0}, {5000, 5000, 5000 - firstStepBytes}, {5000, -1, 5000}} {
		a := New(mb)
		h := a.Open()
		r := Reader{Source: strings.NewReader(strings.Repeat("x", int(c.size))), Held: h, Prepaid: firstStepBytes}
		body, err := r.ReadAll(c.length)
		if err != nil || int64(len(body)) != c.size || a.Used() != c.used {
			t.Errorf("%+v: got %d bytes and error %v, %d counted", c, len(body), err, a.Used())
		}
	}
	a := New(1)
	r := Reader{Source: strings.NewReader("short"), Held: a.Open(), Prepaid: firstStepBytes}
	if body, err := r.ReadAll(-1); err != nil || string(body) != "short" {
		t.Errorf("without room: got %q and error %v", body, err)
	}
}

// Guards against a body that is given up and still counts: the next run of the same call then finds less room.
func TestGivenUpBodyIsReleased(t *testing.T) {
	for _, c := range []struct {
		name   string
		source io.Reader
		length int64
	}{
		{"broken off", io.MultiReader(strings.NewReader(strings.Repeat("x", mb/2)), iotest.ErrReader(io.ErrUnexpectedEOF)), mb},
		{"broken off, not declared", io.MultiReader(strings.NewReader(strings.Repeat("x", mb/2)), iotest.ErrReader(io.ErrUnexpectedEOF)), -1},
		{"no room", strings.NewReader(strings.Repeat("x", 20*mb)), 20 * mb},
		{"no room, not declared", strings.NewReader(strings.Repeat("x", 20*mb)), -1},
	} {
		a := New(8 * mb)
		h := a.Open()
		h.Reserve(1000)
		r := Reader{Source: c.source, Held: h}
		if _, err := r.ReadAll(c.length); err == nil || a.Used() != 1000 {
			t.Errorf("%s: got error %v and %d bytes counted, want an error and 1000", c.name, err, a.Used())
		}
	}
}
