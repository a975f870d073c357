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

// maxTokensPerWrite limits one write, which a slow but steady reader has to receive within the write timeout.
const maxTokensPerWrite = 64

// tokenQueue holds the tokens that a caller has not read yet. The goroutine
// that runs the request never waits for the caller, because that would occupy
// the slots of the backend servers for longer. MaxMaxTokens limits the queue.
type tokenQueue struct {
	mu       sync.Mutex
	tokens   []rocktraffic.Token
	nonEmpty chan struct{} // holds one signal
}

func (q *tokenQueue) push(t rocktraffic.Token) {
	q.mu.Lock()
	q.tokens = append(q.tokens, t)
	q.mu.Unlock()
	select {
	case q.nonEmpty <- struct{}{}:
	default:
	}
}

func (q *tokenQueue) takeAll() []rocktraffic.Token {
	q.mu.Lock()
	defer q.mu.Unlock()
	tokens := q.tokens
	q.tokens = nil
	return tokens
}

// chatResult holds the results of Server.Chat.
type chatResult struct {
	answer rocktable.Answer
	err    error
}

// stream answers with server-sent events as the tokens arrive.
func (s *Server) stream(c *echo.Context, request rocktraffic.ChatRequest, template ChatCompletion) {
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	queue := &tokenQueue{nonEmpty: make(chan struct{}, 1)}
	results := make(chan chatResult, 1)
	go func() {
		answer, err := s.Chat(ctx, request, func(t rocktraffic.Token) error {
			queue.push(t)
			return ctx.Err()
		})
		results <- chatResult{answer: answer, err: err}
	}()

	template.Object = "chat.completion.chunk"
	out := &eventWriter{server: s, c: c, template: template}
	for {
		select {
		case <-queue.nonEmpty:
			if out.writeTokens(queue.takeAll()) != nil {
				cancel()
				<-results
				return
			}
		case result := <-results:
			s.finishStream(out, queue.takeAll(), result, request.MaxTokens)
			return
		}
	}
}

// finishStream writes the remaining tokens and the end of a stream.
func (s *Server) finishStream(out *eventWriter, remaining []rocktraffic.Token, result chatResult, maxTokens int) {
	if out.writeTokens(remaining) != nil {
		return
	}
	answer, callerLeft := s.finalAnswer(out.c.Request().Context(), result.answer, result.err)
	switch {
	case callerLeft:
	case answer.Reason == "":
		out.writeEnd(answer.Outcome, maxTokens)
	case out.tokens == 0:
		s.fail(out.c, answer, &answer.Outcome)
	default:
		out.writeError(answer)
	}
}

// eventWriter writes the events of one stream. The first write also sends the status line and the headers.
type eventWriter struct {
	server     *Server
	c          *echo.Context
	template   ChatCompletion
	tokens     int // written
	headerSent bool
}

// writeTokens writes one event for each token. The write timeout applies to each batch.
func (w *eventWriter) writeTokens(tokens []rocktraffic.Token) error {
	for batch := range slices.Chunk(tokens, maxTokensPerWrite) {
		if err := w.writeBatch(batch); err != nil {
			return err
		}
	}
	return nil
}

func (w *eventWriter) writeBatch(tokens []rocktraffic.Token) error {
	var events bytes.Buffer
	for _, t := range tokens {
		delta := &ChatDelta{Content: t.Text}
		if w.tokens == 0 {
			delta.Role = "assistant"
		}
		w.tokens++
		event := w.template
		event.Choices = []ChatChoice{{Delta: delta}}
		appendEvent(&events, event)
	}
	return w.flush(events.Bytes())
}

// writeEnd writes the last event of a complete answer.
func (w *eventWriter) writeEnd(outcome rocktable.Outcome, maxTokens int) {
	event := w.template
	event.Choices = []ChatChoice{{Delta: &ChatDelta{}, FinishReason: finishReason(w.tokens, maxTokens)}}
	event.Usage = &ChatUsage{CompletionTokens: w.tokens}
	event.Outcome = &outcome
	var events bytes.Buffer
	appendEvent(&events, event)
	events.WriteString("data: [DONE]\n\n")
	_ = w.flush(events.Bytes())
}

// writeError writes the error event that ends an incomplete answer. It writes no [DONE].
func (w *eventWriter) writeError(answer rocktable.Answer) {
	body, _ := newError(answer.Reason, "", answer.RetryAfter)
	body.Outcome = &answer.Outcome
	var events bytes.Buffer
	appendEvent(&events, body)
	_ = w.flush(events.Bytes())
}

func (w *eventWriter) flush(events []byte) error {
	response := w.c.Response()
	if !w.headerSent {
		w.headerSent = true
		response.Header().Set("Content-Type", "text/event-stream")
		response.Header().Set("Cache-Control", "no-store")
		response.WriteHeader(http.StatusOK)
	}
	w.server.extendWriteDeadline(w.c)
	if _, err := response.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(response).Flush()
}

// appendEvent appends one server-sent event. The JSON text has no line breaks, as an event requires.
func appendEvent(b *bytes.Buffer, event any) {
	data, err := json.Marshal(event)
	if err != nil {
		panic(err) // every value of the event types can be encoded
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
}
