package rockrelay

import (
	"bufio"
	"bytes"
	"testing"
)

// Guards against bytes of an answer that are lost, added or reordered when it is cut into events, and against a crash by
// bytes that are no events.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte(event(1) + event(2)))
	f.Add([]byte(": comment\n\n\r\n\r\ndata: x"))
	f.Add(bytes.Repeat([]byte("data: long line "), 1000))
	f.Add([]byte{0, 0xff, '\n', '\n'})
	f.Fuzz(func(t *testing.T, data []byte) {
		x := &exchange{relay: &Relay{}}
		lines := bufio.NewReader(bytes.NewReader(data))
		var got []byte
		for {
			event, err := x.readEvent(lines)
			got = append(got, event...)
			if err != nil {
				break
			}
			if id, ok := eventID(event); ok && isAfter(id, id) {
				t.Errorf("event ID %q follows itself", id)
			}
		}
		if !bytes.Equal(got, data) && len(data) <= maxEventBytes {
			t.Errorf("got %q, want %q", got, data)
		}
	})
}
