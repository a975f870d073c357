package rockrelay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

func answer(status int, contentType, body string) func() (*Response, error) {
	return func() (*Response, error) {
		header := http.Header{}
		if contentType != "" {
			header.Set("Content-Type", contentType)
		}
		return &Response{Status: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// Guards against the text or the head of an error inside a stream that had begun and broke off, and against a stream that
// then ends as if it were complete: the second attempt must fail without a byte for the caller.
func TestErrorDoesNotEnterAResumedStream(t *testing.T) {
	const stream = "text/event-stream"
	for name, open := range map[string]func() (*Response, error){
		"500 with a body":                answer(500, "text/plain", "upstream failed\n\n"),
		"404 with an event":              answer(404, stream, event(3)),
		"302":                            answer(302, "", event(3)),
		"refusal with a body":            func() (*Response, error) { r, err := answer(503, stream, event(3))(); r.NotRun = true; return r, err },
		"text":                           answer(200, "text/plain", "upstream failed\n\n"),
		"text without a type":            answer(200, "", "upstream failed\n\n"),
		"text of a stream's type":        answer(200, stream, "upstream failed\n\n"),
		"text of one word":               answer(200, stream, "error\n\n"),
		"text with a colon":              answer(200, stream, "error: upstream failed\n\n"),
		"text without an end":            answer(200, stream, "upstream failed"),
		"JSON":                           answer(200, "application/json", `{"error":"upstream failed"}`+"\n\n"),
		"JSON without a type":            answer(200, "", "{\n\"error\": \"upstream failed\"\n}\n\n"),
		"events as JSON":                 answer(200, "application/json", event(3)+event(4)),
		"HTML":                           answer(200, "text/html", "<html>\n<h1>502</h1>\n\n</html>\n\n"),
		"a head":                         answer(200, "", "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\nbusy\r\n\r\n"),
		"the rest of a head":             answer(200, "", "Content-Type: text/event-stream\r\nX-Not-Executed: 1\r\n\r\n"+event(3)),
		"a head before events":           answer(200, stream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+event(3)+event(4)),
		"an error event":                 answer(200, stream, "event: error\ndata: upstream failed\n\n"),
		"data without an ID":             answer(200, stream, "data: upstream failed\n\n"+event(3)),
		"an ID of another form":          answer(200, stream, "id: x\ndata: upstream failed\n\n"),
		"a comment and an error":         answer(200, stream, ": hello\n\n"+"data: upstream failed\n\n"),
		"an empty answer without a type": answer(200, "", ""),
		"an empty answer of a type":      answer(200, "text/plain", ""),
		"no content":                     answer(204, "", ""),
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, streaming)
			c := b.send(t.Context(), Request{ID: "a"})
			waitFor(t, b, arrivals)
			b.answers <- respond(brokenBody(event(1)+event(2)+"id: 3\nda", errors.New("reset")))
			b.startAttempt(1)
			waitFor(t, b, endings)
			b.answers <- open
			b.startAttempt(2)
			if e := waitFor(t, b, endings); e.Reason != rockreason.StageDied && e.Reason != rockreason.StageRefused || e.Tokens != 0 {
				t.Errorf("got end %q after %d events, want a failed attempt without one", e.Reason, e.Tokens)
			}
			b.answers <- answer(200, "text/event-stream; charset=utf-8", event(3)+event(4))
			b.startAttempt(3)
			if e := waitFor(t, b, endings); e.Reason != "" {
				t.Errorf("got end %q of the third attempt, want a complete answer", e.Reason)
			}
			b.sendAnswer(rocktable.Answer{})
			<-c.done
			if want := event(1) + event(2) + event(3) + event(4); c.body.String() != want || c.err != nil {
				t.Errorf("caller got %q and error %v, want %q", c.body.String(), c.err, want)
			}
		})
	}
}

// Guards against a resumed stream that is refused although it has the content type of the first answer.
func TestResumedStreamMayHaveTheFirstType(t *testing.T) {
	for contentType, want := range map[string]rockreason.Code{"application/x-events": "", "text/plain": rockreason.StageDied} {
		b := newFixture(t, streaming)
		c := b.send(t.Context(), Request{ID: "a"})
		waitFor(t, b, arrivals)
		b.answers <- func() (*Response, error) {
			return &Response{Status: 200, Header: http.Header{"Content-Type": {"Application/X-Events"}}, Body: brokenBody(event(1), errors.New("reset"))}, nil
		}
		b.startAttempt(1)
		waitFor(t, b, endings)
		b.answers <- answer(200, contentType, event(2))
		b.startAttempt(2)
		if e := waitFor(t, b, endings); e.Reason != want {
			t.Errorf("type %s: got end %q, want %q", contentType, e.Reason, want)
		}
		b.sendAnswer(rocktable.Answer{})
		<-c.done
	}
}

// Guards against a resumed stream that is refused although it is sound.
func TestSoundResumedStreamsAreTaken(t *testing.T) {
	for name, c := range map[string]struct{ contentType, body, want string }{
		"without a type":            {"", event(3), event(3)},
		"with parameters":           {"text/event-stream; charset=utf-8", event(3), event(3)},
		"in capitals":               {"Text/Event-Stream", event(3), event(3)},
		"whole answer from start":   {"text/event-stream", event(1) + event(2) + event(3), event(3)},
		"with a version":            {"text/event-stream", "x-weight-versions: 7\n" + event(3), "x-weight-versions: 7\n" + event(3)},
		"with a comment":            {"text/event-stream", ": hello\n\n" + event(3), ": hello\n\n" + event(3)},
		"with every field":          {"text/event-stream", "event: token\nretry: 5\n" + event(3), "event: token\nretry: 5\n" + event(3)},
		"with carriage returns":     {"text/event-stream", "id: 3\r\ndata: x\r\n\r\n", "id: 3\r\ndata: x\r\n\r\n"},
		"with an event without ID":  {"text/event-stream", event(3) + "data: x\n\n", event(3) + "data: x\n\n"},
		"nothing left to send":      {"text/event-stream", "", ""},
		"nothing left but comments": {"text/event-stream", ": end\n\n", ": end\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, streaming)
			sender := b.send(t.Context(), Request{ID: "a"})
			waitFor(t, b, arrivals)
			b.answers <- respond(brokenBody(event(1)+event(2), errors.New("reset")))
			b.startAttempt(1)
			waitFor(t, b, endings)
			b.answers <- answer(200, c.contentType, c.body)
			b.startAttempt(2)
			if e := waitFor(t, b, endings); e.Reason != "" {
				t.Errorf("got end %q, want a complete answer", e.Reason)
			}
			b.sendAnswer(rocktable.Answer{})
			<-sender.done
			if want := event(1) + event(2) + c.want; sender.body.String() != want {
				t.Errorf("caller got %q, want %q", sender.body.String(), want)
			}
		})
	}
}

// Guards against a first answer without an event that counts as a complete stream.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "comments": ": hello\n\n", "empty lines": "\n\n", "empty events": "id: 1\ndata:\n\n"} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, streaming)
			c := b.send(t.Context(), Request{ID: "a"})
			waitFor(t, b, arrivals)
			b.answers <- answer(200, "text/event-stream", body)
			b.startAttempt(1)
			if e := waitFor(t, b, endings); e.Reason != rockreason.StageDied {
				t.Errorf("got end %q, want %q", e.Reason, rockreason.StageDied)
			}
			b.sendAnswer(rocktable.Answer{Reason: rockreason.BackendFailed})
			<-c.done
			if c.status != 0 || c.refused != rockreason.BackendFailed {
				t.Errorf("caller got status %d and refusal %q, want only the refusal", c.status, c.refused)
			}
		})
	}
}

// Guards against events that the caller has already when it resumes a stream itself and the backend server begins anew.
func TestStreamResumedByTheCallerRepeatsNothing(t *testing.T) {
	b := newFixture(t, streaming)
	c := b.send(t.Context(), Request{ID: "a", LastEventID: "2"})
	waitFor(t, b, arrivals)
	b.answers <- answer(200, "text/event-stream", event(1)+event(2)+event(3)+event(4))
	b.startAttempt(1)
	if a := <-b.attempts; a.LastEventID != "2" {
		t.Errorf("first attempt resumes after event %q, want 2", a.LastEventID)
	}
	if e := waitFor(t, b, endings); e.Reason != "" || e.Tokens != 2 {
		t.Errorf("got end %q after %d events, want a complete answer after 2", e.Reason, e.Tokens)
	}
	b.sendAnswer(rocktable.Answer{})
	<-c.done
	if want := event(3) + event(4); c.body.String() != want {
		t.Errorf("caller got %q, want %q", c.body.String(), want)
	}
}

// Guards against a stream without ids that begins anew at another backend server after a part of it was sent.
func TestStreamWithoutIDsIsNotStartedAgain(t *testing.T) {
	b := newFixture(t, streaming)
	c := b.send(t.Context(), Request{ID: "a"})
	waitFor(t, b, arrivals)
	b.answers <- respond(brokenBody("data: x\n\ndata: y\n\n", errors.New("reset")))
	b.startAttempt(1)
	e := waitFor(t, b, endings)
	if reason, ok := rockreason.Find(e.Reason); !ok || reason.Kind == rockreason.Retry {
		t.Errorf("got end %q, after which the request is tried again; the stream would begin anew", e.Reason)
	}
	b.sendAnswer(rocktable.Answer{Reason: rockreason.BackendFailed})
	<-c.done
	if !errors.Is(c.err, ErrIncomplete) {
		t.Errorf("got error %v, want %v", c.err, ErrIncomplete)
	}
}

// Guards against an answer without an event that ends a resumed stream as complete although the attempt before broke off
// inside an event: at least that one is left.
func TestEmptyAnswerEndsNoStreamWithAnEventLeft(t *testing.T) {
	for name, c := range map[string]struct {
		before string
		want   rockreason.Code
	}{
		"inside the next event":   {event(1) + event(2) + "id: 3\nda", rockreason.StageDied},
		"inside a line":           {event(1) + event(2) + "i", rockreason.StageDied},
		"behind the last event":   {event(1) + event(2), ""},
		"inside a comment":        {event(1) + event(2) + ": still he", ""},
		"inside a repeated event": {event(1) + event(2) + "id: 2\nda", ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, streaming)
			caller := b.send(t.Context(), Request{ID: "a"})
			waitFor(t, b, arrivals)
			b.answers <- respond(brokenBody(c.before, errors.New("reset")))
			b.startAttempt(1)
			waitFor(t, b, endings)
			b.answers <- answer(200, streamType, "")
			b.startAttempt(2)
			if e := waitFor(t, b, endings); e.Reason != c.want {
				t.Errorf("got end %q, want %q", e.Reason, c.want)
			}
			want := event(1) + event(2)
			if c.want != "" {
				b.answers <- answer(200, streamType, event(3))
				b.startAttempt(3)
				if e := waitFor(t, b, endings); e.Reason != "" {
					t.Errorf("got end %q of the third attempt, want a complete answer", e.Reason)
				}
				want += event(3)
			}
			b.sendAnswer(rocktable.Answer{})
			if <-caller.done; caller.body.String() != want {
				t.Errorf("caller got %q, want %q", caller.body.String(), want)
			}
		})
	}
}
