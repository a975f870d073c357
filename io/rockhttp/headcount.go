package rockhttp

const (
	// shortHeadBytes is the length of a head that fits into the buffers of its connection.
	shortHeadBytes = 4 << 10
	// headCopies is the memory for a byte of a longer head: net/http holds its lines, and copies them while they grow.
	headCopies = 2
	// freeLines is the number of lines whose memory is counted with the connection or the request.
	freeLines = 64
	// parsedLineBytes is the memory for a line of a head that net/http has parsed, beside its text: an entry of a map that
	// has just grown, strings and a slice.
	parsedLineBytes = 192
	// requestLineBytes is the same for a request that is sent to a backend server, whose header is copied twice.
	requestLineBytes = 512
	// fieldOverhead is what headLength adds to the name, the colon and the value of a field.
	fieldOverhead = len(" \r\n")
	// unfinishedHeadFactor is the multiple of the limit at which a head is refused before its end. Up to there its memory is
	// counted, and the handler decides by headLength, which leaves out the fields that net/http removes.
	unfinishedHeadFactor = 2
)

// headCount counts the lines of a head while it is received, before net/http parses it.
type headCount struct {
	received   int // bytes
	lines      int // after the request line, without folded ones
	fieldBytes int // at most what headLength will count, beside fields that net/http removes
	begun      bool
	ended      bool

	lineBytes int  // bytes of the line that is being received, without line ends
	folded    bool // the line goes on with the value of the one before
}

// add counts received bytes, and returns those after the end of the head.
func (c *headCount) add(p []byte) (rest []byte) {
	for i, b := range p {
		switch {
		case b == '\n':
			c.endLine()
			if c.ended {
				c.received += i + 1
				return p[i+1:]
			}
		case b == '\r':
		case b == ' ' || b == '\t':
			c.folded = c.folded || c.lineBytes == 0
			c.lineBytes++
		default:
			c.lineBytes++
			if c.begun {
				c.fieldBytes++
			}
		}
	}
	c.received += len(p)
	return nil
}

// endLine counts a line. Empty lines before the request line do not end the head.
func (c *headCount) endLine() {
	switch {
	case c.lineBytes == 0:
		c.ended = c.begun
	case !c.begun:
		c.begun = true
	case !c.folded:
		c.lines++
		c.fieldBytes += fieldOverhead
	}
	c.lineBytes, c.folded = 0, false
}

// isTooLong reports whether the header fields are so far beyond a limit in bytes that the head is refused before its end. A
// field counts at least five bytes, so that this limits the lines as well.
func (c *headCount) isTooLong(limit int64) bool {
	return int64(c.fieldBytes) > limit*unfinishedHeadFactor
}

// parsedBytes returns the memory for what net/http has parsed.
func (c *headCount) parsedBytes() int64 {
	return headBytes(c.received) + lineBytes(c.lines, parsedLineBytes)
}

// headBytes returns the memory for the text of a head, beside what its connection counts.
func headBytes(received int) int64 { return int64(max(0, received-shortHeadBytes)) * headCopies }

// lineBytes returns the memory for lines of a head, beside what its connection or request counts.
func lineBytes(lines, each int) int64 { return int64(max(0, lines-freeLines) * each) }
