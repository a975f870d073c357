package rockhttp

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"sassafrasrock/core/rocklookup"
	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rocktraffic"
)

// promptCopies is the number of copies of a body's texts beside the body: the decoded messages and the prompt.
const promptCopies = 2

// chat answers POST /v1/chat/completions.
func (s *Server) chat(c *echo.Context, v view) {
	defer v.held.Close()
	data, ok := s.readBody(c, v)
	if !ok {
		return
	}
	if !v.held.Reserve(promptCopies * int64(len(data))) {
		s.refuse(c, rockreason.MemoryFull, "")
		return
	}
	body, bad := decodeChat(data)
	if bad != nil {
		s.refuse(c, bad.code, bad.detail)
		return
	}
	request, code, detail := resolveChat(v, body)
	if code != "" {
		s.refuse(c, code, detail)
		return
	}
	template := ChatCompletion{
		ID:      "chatcmpl-" + rand.Text(),
		Created: time.Now().Unix(),
		Model:   body.Model,
	}
	if body.Stream {
		s.stream(c, request, template)
		return
	}
	s.complete(c, request, template)
}

// resolveChat returns the request for rocktraffic, or the code of a refusal and the field that caused it.
func resolveChat(v view, body ChatBody) (rocktraffic.ChatRequest, rockreason.Code, string) {
	pipeline, code := rocklookup.Pipeline(v.snapshot, body.Model)
	if code != "" {
		return rocktraffic.ChatRequest{}, code, nameDetail("model", body.Model)
	}
	rank, code := rocklookup.Rank(v.snapshot, v.caller, body.Rank)
	if code != "" {
		return rocktraffic.ChatRequest{}, code, nameDetail("rank", body.Rank)
	}
	return rocktraffic.ChatRequest{
		Caller:    v.caller,
		Rank:      rank,
		Pipeline:  pipeline,
		Prompt:    FormatPrompt(body.Messages),
		MaxTokens: *body.MaxTokens,
	}, "", ""
}

func nameDetail(field, value string) string { return field + ": \"" + clip(value) + "\"." }

// complete collects all tokens and answers with one JSON body.
func (s *Server) complete(c *echo.Context, request rocktraffic.ChatRequest, template ChatCompletion) {
	var text strings.Builder
	tokens := 0
	answer, err := s.Chat(c.Request().Context(), request, func(t rocktraffic.Token) error {
		text.WriteString(t.Text)
		tokens++
		return nil
	})
	answer, callerLeft := s.finalAnswer(c.Request().Context(), answer, err)
	if callerLeft {
		return
	}
	if answer.Reason != "" {
		s.fail(c, answer, &answer.Outcome)
		return
	}
	template.Object = "chat.completion"
	template.Choices = []ChatChoice{{
		Message:      &ChatMessage{Role: "assistant", Content: text.String()},
		FinishReason: finishReason(tokens, request.MaxTokens),
	}}
	template.Usage = &ChatUsage{CompletionTokens: tokens}
	template.Outcome = &answer.Outcome
	s.writeJSON(c, http.StatusOK, template)
}

// finalAnswer returns the answer with a reason if rocktraffic returned an error without one. It
// also reports whether the caller has left.
func (s *Server) finalAnswer(ctx context.Context, answer rocktable.Answer, err error) (_ rocktable.Answer, callerLeft bool) {
	if ctx.Err() != nil {
		return answer, true
	}
	if err != nil && answer.Reason == "" {
		// rocktraffic returns an error without a reason only while the host stops. The control
		// thread has not counted it.
		answer.Reason = rockreason.StoppedNow
		s.Count(answer.Reason)
	}
	return answer, false
}
