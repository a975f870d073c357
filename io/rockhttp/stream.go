package rockhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v5"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rocktraffic"
)

// maxTokensPerWrite keeps a write so short that a slow but steady reader takes it within the write timeout.
const maxTokensPerWrite = 64

// tokenQueue holds the tokens that a caller has not read yet. Traffic never
// waits for the caller, since the slots of the backend servers would wait with
// it; MaxMaxTokens bounds the queue.
type tokenQueue struct {
	mu     sync.Mutex
	tokens []rocktraffic.Token
	filled chan struct{} // holds one signal
}

func (q *tokenQueue) put(t rocktraffic.Token) {
	q.mu.Lock()
	q.tokens = append(q.tokens, t)
	q.mu.Unlock()
	select {
	case q.filled <- struct{}{}:
	default:
	}
}

func (q *tokenQueue) take() []rocktraffic.Token {
	q.mu.Lock()
	defer q.mu.Unlock()
	tokens := q.tokens
	q.tokens = nil
	return tokens
}

// chatEnd is what Chat returned.
type chatEnd struct {
	answer rocktable.Answer
	err    error
}

// stream answers with server-sent events as the tokens come.
func (s *Server) stream(c *echo.Context, request rocktraffic.ChatRequest, frame ChatCompletion) {
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	queue := &tokenQueue{filled: make(chan struct{}, 1)}
	ended := make(chan chatEnd, 1)
	go func() {
		answer, err := s.Chat(ctx, request, func(t rocktraffic.Token) error {
			queue.put(t)
			return ctx.Err()
		})
		ended <- chatEnd{answer: answer, err: err}
	}()

	frame.Object = "chat.completion.chunk"
	out := &eventWriter{server: s, c: c, frame: frame}
	for {
		select {
		case <-queue.filled:
			if out.writeTokens(queue.take()) != nil {
				cancel()
				<-ended
				return
			}
		case end := <-ended:
			s.endStream(out, queue.take(), end, request.MaxTokens)
			return
		}
	}
}

// endStream writes the last tokens and the end of a stream.
func (s *Server) endStream(out *eventWriter, rest []rocktraffic.Token, end chatEnd, maxTokens int) {
	if out.writeTokens(rest) != nil {
		return
	}
	answer, gone := s.settle(out.c.Request().Context(), end.answer, end.err)
	switch {
	case gone:
	case answer.Reason == "":
		out.writeEnd(answer.Outcome, maxTokens)
	case out.tokens == 0:
		s.fail(out.c, answer, &answer.Outcome)
	default:
		out.writeError(answer)
	}
}

// eventWriter writes the events of one stream; the status line goes out with the first of them.
type eventWriter struct {
	server *Server
	c      *echo.Context
	frame  ChatCompletion
	tokens int // written
	open   bool
}

// writeTokens writes one event for each token; each part has the write timeout for itself.
func (w *eventWriter) writeTokens(tokens []rocktraffic.Token) error {
	for part := range slices.Chunk(tokens, maxTokensPerWrite) {
		if err := w.writePart(part); err != nil {
			return err
		}
	}
	return nil
}

func (w *eventWriter) writePart(tokens []rocktraffic.Token) error {
	var events bytes.Buffer
	for _, t := range tokens {
		delta := &ChatDelta{Content: t.Text}
		if w.tokens == 0 {
			delta.Role = "assistant"
		}
		w.tokens++
		event := w.frame
		event.Choices = []ChatChoice{{Delta: delta}}
		addEvent(&events, event)
	}
	return w.flush(events.Bytes())
}

// writeEnd ends a whole answer.
func (w *eventWriter) writeEnd(outcome rocktable.Outcome, maxTokens int) {
	event := w.frame
	event.Choices = []ChatChoice{{Delta: &ChatDelta{}, FinishReason: finishReason(w.tokens, maxTokens)}}
	event.Usage = &ChatUsage{CompletionTokens: w.tokens}
	event.Outcome = &outcome
	var events bytes.Buffer
	addEvent(&events, event)
	events.WriteString("data: [DONE]\n\n")
	_ = w.flush(events.Bytes())
}

// writeError ends an answer that is not whole; [DONE] does not follow.
func (w *eventWriter) writeError(answer rocktable.Answer) {
	body, _ := newError(answer.Reason, "", answer.RetryAfter)
	body.Outcome = &answer.Outcome
	var events bytes.Buffer
	addEvent(&events, body)
	_ = w.flush(events.Bytes())
}

func (w *eventWriter) flush(events []byte) error {
	response := w.c.Response()
	if !w.open {
		w.open = true
		response.Header().Set("Content-Type", "text/event-stream")
		response.Header().Set("Cache-Control", "no-store")
		response.WriteHeader(http.StatusOK)
	}
	w.server.extendWrite(w.c)
	if _, err := response.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(response).Flush()
}

// addEvent appends one server-sent event; JSON text has no line breaks.
func addEvent(b *bytes.Buffer, event any) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(err) // the event types have no value that JSON can't hold
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
}
