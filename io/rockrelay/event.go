package rockrelay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockstream"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexchange"
)

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// uncountedEventBytes is the size up to which an event does not count towards Relay.Memory. Usual events have
	// some hundred bytes.
	uncountedEventBytes = 16 << 10
	// streamType is the content type of a stream of events.
	streamType = "text/event-stream"
)

// fieldNames are the names of fields that may stand in a line without a colon.
var fieldNames = []string{"data", "event", "id", "retry"}

// forwardEvents sends the events of an answer to the caller as they arrive. It drops events that
// the caller already has, also those from before the caller resumed the stream itself.
func (x *exchange) forwardEvents(ctx context.Context, a Attempt, start rocktable.Start, resp *Response, watch *rockexchange.Watch) error {
	defer resp.Body.Close()
	if resp.Origin != OriginServer {
		return unprovedError(resp)
	}
	if resp.Status < 200 || resp.Status > 299 {
		return StatusError(resp.Status)
	}
	if x.stream.headerSent && isOtherType(mediaType(resp.Header), x.stream.mediaType) {
		return errNotStream
	}
	lines := bufio.NewReaderSize(resp.Body, 4096)
	var held []byte // events without data before the first one with data
	begun := false  // an event with data arrived
	for {
		event, err := x.readEvent(lines)
		if err != nil && isNewEvent(event, begun, x.resumeAfter()) {
			x.stream.eventLeft = true
		}
		if errors.Is(err, io.EOF) {
			watch.Stop()
			if resp.EndsWithConnection && watch.AwaitedServer() != 0 {
				return errStalled
			}
			return x.finishStream(ctx, a, resp, begun, held, event)
		}
		if err != nil {
			return err
		}
		if !isEvent(event) {
			return errNotStream
		}
		id, hasID := eventID(event)
		if hasID && !isAfter(id, x.resumeAfter()) {
			x.relay.Count(rockreason.RepeatedIndex)
			continue
		}
		switch {
		case carriesData(event):
			if !begun && !continues(id, x.resumeAfter()) {
				return errNotStream
			}
			begun = true
			x.recordEvent(start, watch)
		case !begun:
			if held, err = x.keepEvent(held, event); err != nil {
				return err
			}
			continue
		}
		if err := x.forward(resp, append(held, event...)); err != nil {
			return err
		}
		held, x.stream.eventLeft = nil, false
		x.releaseHeld()
		if hasID {
			x.stream.lastEventID = id
		}
	}
}

// keepEvent appends an event without data to those that are kept until one with data arrives.
func (x *exchange) keepEvent(kept, event []byte) ([]byte, error) {
	counted := max(cap(kept), uncountedEventBytes)
	if kept = append(kept, event...); len(kept) > maxEventBytes {
		return nil, errTooLarge
	}
	if size := cap(kept); size > counted && !x.hold(int64(size-counted)) {
		return nil, errHostFull
	}
	return kept, nil
}

// forward sends a part of an answer to the caller, after the headers if it is the first one.
func (x *exchange) forward(resp *Response, p []byte) error {
	x.sendHeader(resp)
	if err := x.sink.Write(p); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}

// finishStream handles the end of an answer. begun tells whether it had an event with data, held has events that were not
// forwarded yet, and rest the bytes after the last complete event.
func (x *exchange) finishStream(ctx context.Context, a Attempt, resp *Response, begun bool, held, rest []byte) error {
	switch {
	case len(rest) > 0:
		return errPartialEvent
	case !begun && (x.resumeAfter() == "" || x.stream.eventLeft):
		return errNoEvents
	case !begun && (mediaType(resp.Header) == "" || !isComment(held)):
		return errNotStream // a resumed stream may have nothing left to send, but then it says that it is a stream
	}
	if err := x.confirmEnd(ctx, a, resp); err != nil {
		return err
	}
	if len(held) > 0 {
		return x.forward(resp, held)
	}
	x.sendHeader(resp)
	return nil
}

// mediaType returns the content type of an answer without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// isOtherType reports whether an answer of a media type cannot go on with a stream whose first answer has another one.
func isOtherType(name, first string) bool { return name != "" && name != streamType && name != first }

// isEvent reports whether each line of an event is a comment or has the name of a field, which is in lower case. Texts of
// errors and heads of answers are none.
func isEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, hasColon := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch {
		case len(name) == 0:
		case hasColon && len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-_")) == 0:
		case !hasColon && slices.Contains(fieldNames, string(name)):
		default:
			return false
		}
	}
	return true
}

// isNewEvent reports whether the beginning of an event belongs to one that the caller does not have. begun tells whether
// the same answer had such events before.
func isNewEvent(beginning []byte, begun bool, last string) bool {
	if isComment(beginning) {
		return false
	}
	if id, ok := eventID(beginning); ok {
		return isAfter(id, last)
	}
	return begun
}

// isComment reports whether events consist of comments and empty lines.
func isComment(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// continues reports whether the first event with data of an answer can follow an event that the caller has. The ids of a
// stream are numbers where its last one is.
func continues(id, last string) bool {
	if _, err := strconv.ParseUint(last, 10, 64); err != nil {
		return last == "" || id != ""
	}
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// carriesData reports whether an event brings the caller something. Comments, empty lines and empty events do not: a
// backend server that waits for another one may send them.
func carriesData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok && len(bytes.TrimSpace(data)) > 0 {
			return true
		}
	}
	return false
}

// recordEvent records an event and reports the first one of an attempt to the control thread.
func (x *exchange) recordEvent(start rocktable.Start, watch *rockexchange.Watch) {
	now := x.relay.Now()
	s := &x.stream
	if watch.MovedFrom() != 0 {
		s.intervals = rockstream.Intervals{} // the stall is no interval of its path, and another path may have others
	}
	s.intervals.Add(now)
	watch.ProgressMadeWithin(s.intervals.SilenceLimit(start.SilenceLimit))
	s.events++
	if !s.lastEventAt.IsZero() {
		if gap := now.Sub(s.lastEventAt); gap > s.longestGap {
			s.longestGap, s.eventsBeforeGap = gap, s.events-1
		}
	}
	s.lastEventAt = now
	if s.events > s.eventsBefore+1 {
		return
	}
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	}
	first := s.firstEventAt
	x.Post(func(in *rocktable.Inbox) {
		in.Progress = append(in.Progress, rocktable.Progress{Attempt: start.Attempt, Tokens: 1, FirstTokenAt: first})
	})
}

// readEvent returns the next event with the empty line that ends it. At the end of the answer it
// returns the remaining bytes and io.EOF.
func (x *exchange) readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	counted := uncountedEventBytes // of the capacity, which grows in larger steps than the event
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
		if len(event) > maxEventBytes {
			return nil, errTooLarge
		}
		if size := cap(event); size > counted {
			if !x.hold(int64(size - counted)) {
				return nil, errHostFull
			}
			counted = size
		}
	}
}

// eventID returns the ID of an event and whether it has one. An empty ID is none.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id := string(bytes.TrimSpace(rest))
			return id, id != ""
		}
	}
	return "", false
}

// isAfter reports whether an event ID follows another one. IDs that are not numbers follow all others.
func isAfter(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
