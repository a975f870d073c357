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

// chat answers POST /v1/chat/completions.
func (s *Server) chat(c *echo.Context, v view) {
	data, ok := s.readBody(c)
	if !ok {
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
	frame := ChatCompletion{
		ID:      "chatcmpl-" + rand.Text(),
		Created: time.Now().Unix(),
		Model:   body.Model,
	}
	if body.Stream {
		s.stream(c, request, frame)
		return
	}
	s.complete(c, request, frame)
}

// resolveChat returns the request for traffic, or the reason for a refusal with the name that caused it.
func resolveChat(v view, body ChatBody) (rocktraffic.ChatRequest, rockreason.Code, string) {
	pipeline, code := rocklookup.Pipeline(v.snapshot, body.Model)
	if code != "" {
		return rocktraffic.ChatRequest{}, code, named("model", body.Model)
	}
	rank, code := rocklookup.Rank(v.snapshot, v.caller, body.Rank)
	if code != "" {
		return rocktraffic.ChatRequest{}, code, named("rank", body.Rank)
	}
	return rocktraffic.ChatRequest{
		Caller:    v.caller,
		Rank:      rank,
		Pipeline:  pipeline,
		Prompt:    Prompt(body.Messages),
		MaxTokens: *body.MaxTokens,
	}, "", ""
}

func named(field, value string) string { return field + ": \"" + clip(value) + "\"." }

// complete answers with one JSON body when all tokens are there.
func (s *Server) complete(c *echo.Context, request rocktraffic.ChatRequest, frame ChatCompletion) {
	var text strings.Builder
	tokens := 0
	answer, err := s.Chat(c.Request().Context(), request, func(t rocktraffic.Token) error {
		text.WriteString(t.Text)
		tokens++
		return nil
	})
	answer, gone := s.settle(c.Request().Context(), answer, err)
	if gone {
		return
	}
	if answer.Reason != "" {
		s.fail(c, answer, &answer.Outcome)
		return
	}
	frame.Object = "chat.completion"
	frame.Choices = []ChatChoice{{
		Message:      &ChatMessage{Role: "assistant", Content: text.String()},
		FinishReason: finishReason(tokens, request.MaxTokens),
	}}
	frame.Usage = &ChatUsage{CompletionTokens: tokens}
	frame.Outcome = &answer.Outcome
	s.writeJSON(c, http.StatusOK, frame)
}

// settle turns an error of traffic into an answer with a reason; gone tells that the caller left.
func (s *Server) settle(ctx context.Context, answer rocktable.Answer, err error) (_ rocktable.Answer, gone bool) {
	if ctx.Err() != nil {
		return answer, true
	}
	if err != nil && answer.Reason == "" {
		// Traffic gives errors only when the host stops; the control thread did not count this.
		answer.Reason = rockreason.StoppedNow
		s.Count(answer.Reason)
	}
	return answer, false
}
