package rockresponse

import (
	"bytes"
	"strings"
)

// maxLinePrefix is the number of bytes of a line that show its version and status, or that it is a transfer coding.
const maxLinePrefix = 32

// oldHead is what is known of a head while it is read. It notices a transfer coding in a response of HTTP/1.0, which has none:
// net/http removes the field, and the body that it returns is that of the coding.
type oldHead struct {
	line      []byte // beginning of the current line
	begun     bool   // the first line has been read
	ended     bool   // nothing more is to be seen: the head of the final response has ended, or has another version
	isInterim bool
	isOld     bool // HTTP/1.0
	hasCoding bool
}

// read continues with the next bytes.
func (h *oldHead) read(p []byte) {
	for len(p) > 0 && !h.ended {
		line, rest, isWhole := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, line[:min(len(line), maxLinePrefix-len(h.line))]...)
		if !isWhole {
			return
		}
		h.endLine(strings.TrimSuffix(string(h.line), "\r"))
		h.line, p = h.line[:0], rest
	}
}

// endLine handles the beginning of a whole line.
func (h *oldHead) endLine(line string) {
	name, _, _ := strings.Cut(line, ":")
	switch {
	case !h.begun:
		version, status, _ := strings.Cut(line, " ")
		h.begun, h.isOld, h.isInterim = true, version == "HTTP/1.0", strings.HasPrefix(status, "1")
		h.ended = !h.isOld && !h.isInterim
	case line == "" && h.isInterim:
		h.begun = false // the next response follows
	case line == "":
		h.ended = true
	case h.isOld && strings.EqualFold(name, "Transfer-Encoding"):
		h.hasCoding = true
	}
}
