package rockrelay

import (
	"errors"
	"io"
	"net/http"

	"sassafrasrock/io/rockmemory"
)

const (
	// maxAnswerBytes limits the body of an answer to a call. A longer one is a failure of its backend server.
	maxAnswerBytes = 16 << 20
	// maxFinalBytes limits what is held of an answer that no other one can replace. Up to this size, an answer that breaks
	// off is reported with a reason instead of a broken connection.
	maxFinalBytes = 64 << 10
	// firstChunkBytes is the size of the first part in which an answer is read. It belongs to what is reserved for a
	// request before it is accepted, so that a short answer to it always has room.
	firstChunkBytes = 4 << 10
	// answerChunkBytes is the size of the further parts.
	answerChunkBytes = 64 << 10
)

// callAnswer is the complete answer of a backend server to a call.
type callAnswer struct {
	status int
	header http.Header
	chunks [][]byte // of the body
}

// readAnswer reads an answer to its end. It holds the answer as long as a repeat of the call could replace it and the host
// has room for it. From then on it passes the answer on to the caller as it arrives, or gives it up if it may be endless
// and the call can be repeated.
func (x *exchange) readAnswer(resp *Response) (callAnswer, error) {
	defer resp.Body.Close()
	answer := callAnswer{status: resp.Status, header: resp.Header}
	if resp.Length > maxAnswerBytes {
		return answer, errTooLarge
	}
	limit := maxAnswerBytes
	if !x.mayRepeat() && isPassable(resp) {
		limit = maxFinalBytes
	}
	total, size := 0, firstChunkBytes
	for {
		if total >= limit || total > 0 && !x.hold(int64(size)) {
			return answer, x.continueWithoutHolding(resp, answer.chunks, total)
		}
		chunk := make([]byte, size)
		n, err := rockmemory.Fill(resp.Body, chunk)
		answer.chunks = append(answer.chunks, chunk[:n])
		switch {
		case errors.Is(err, io.EOF):
			return answer, nil
		case err != nil:
			return answer, err
		}
		total += n
		size = nextChunkSize(resp.Length - int64(total))
	}
}

// nextChunkSize returns the size of the next part of an answer: one byte more than what is left of its declared length, so
// that its end is read at once, or a fixed size.
func nextChunkSize(left int64) int {
	if left < 0 {
		return answerChunkBytes
	}
	return int(min(left+1, answerChunkBytes))
}

// mayRepeat reports whether the control thread may send the call to another backend server after the current run.
func (x *exchange) mayRepeat() bool {
	return x.dest.Route.Repeatable && x.runs < x.dest.Route.Attempts
}

// isPassable reports whether an answer may be sent to the caller before it is complete. What becomes of answers with other
// statuses is decided when they have ended.
func isPassable(resp *Response) bool {
	return resp.Status >= http.StatusOK && resp.Status < http.StatusBadRequest && !resp.NotRun
}

// continueWithoutHolding handles an answer of which no more than the chunks can be held. total is their length.
func (x *exchange) continueWithoutHolding(resp *Response, chunks [][]byte, total int) error {
	switch {
	case total >= maxAnswerBytes:
		return errTooLarge
	case !isPassable(resp):
		return errHostFull
	case x.mayRepeat() && resp.Length <= 0:
		return errHostFull // it may have no end, and another backend server may do better
	}
	return x.passOn(resp, chunks, total)
}

// passOn sends the chunks to the caller, and then the rest of the answer as it arrives, no faster than the caller reads.
func (x *exchange) passOn(resp *Response, chunks [][]byte, total int) error {
	x.sendHeader(resp)
	for _, chunk := range chunks {
		if err := x.write(chunk); err != nil {
			return err
		}
	}
	buffer := chunks[len(chunks)-1]
	if len(chunks) > 1 { // the first one is not counted
		x.held.Shrink(x.held.Bytes() - int64(cap(buffer)))
	}
	clear(chunks)
	for total < maxAnswerBytes {
		n, err := resp.Body.Read(buffer[:cap(buffer)])
		total += n
		if writeErr := x.write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errTooLarge
}

// write sends a part of the body to the caller.
func (x *exchange) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := x.sink.Write(p); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}

// openHolding begins to count what is read from a backend server, and forgets the answer of an earlier one.
func (x *exchange) openHolding(server string) {
	x.callAnswer = nil
	x.releaseHeld()
	x.held = x.relay.Memory.Open(
		rockmemory.Owner{Kind: rockmemory.Server, Name: server}, rockmemory.Owner{Kind: rockmemory.Caller, Name: x.dest.CallerName})
}

// hold counts bytes that the exchange keeps in memory, and reports whether they fit.
func (x *exchange) hold(n int64) bool { return x.held.Reserve(n) }

// releaseHeld ends the count of the bytes that the exchange keeps in memory.
func (x *exchange) releaseHeld() { x.held.Release() }
