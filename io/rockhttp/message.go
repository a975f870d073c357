package rockhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

const (
	// DefaultMaxTokens is the length of an answer for which the request names none.
	DefaultMaxTokens = 512
	// MaxMaxTokens bounds max_tokens, and with it the memory for a caller that reads slowly.
	MaxMaxTokens = 32768

	maxMessages = 4096
)

var roles = []string{"system", "user", "assistant", "tool"}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody is the body of a model request; fields that it does not have are ignored.
type ChatBody struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"` // nil means DefaultMaxTokens
	Stream    bool          `json:"stream"`
	Rank      string        `json:"rank"` // empty means the first of the caller's ranks
}

// invalid is the error of a body that can't be accepted.
type invalid struct {
	code   rockreason.Code
	detail string
}

// Error returns the code and the detail.
func (e *invalid) Error() string { return string(e.code) + ": " + e.detail }

func badField(field, value, allowed string) *invalid {
	return &invalid{
		code:   rockreason.BadField,
		detail: fmt.Sprintf("%s: %s is not allowed; allowed: %s.", field, value, allowed),
	}
}

// decodeChat decodes and checks the body of a model request, with the default for max_tokens filled in.
func decodeChat(data []byte) (ChatBody, *invalid) {
	var body ChatBody
	if err := json.Unmarshal(data, &body); err != nil {
		if wrong := new(json.UnmarshalTypeError); errors.As(err, &wrong) {
			return body, badField(fieldName(wrong.Field), "a "+wrong.Value, wrong.Type.String())
		}
		return body, &invalid{code: rockreason.BadJSON, detail: err.Error()}
	}
	if body.MaxTokens == nil {
		n := DefaultMaxTokens
		body.MaxTokens = &n
	}
	return body, checkChat(body)
}

func fieldName(path string) string {
	if path == "" {
		return "body"
	}
	return path
}

func checkChat(body ChatBody) *invalid {
	if body.Model == "" {
		return badField("model", "an empty value", "the name of a model")
	}
	if n := len(body.Messages); n == 0 || n > maxMessages {
		return badField("messages", fmt.Sprintf("a list of %d", n), fmt.Sprintf("1 to %d messages", maxMessages))
	}
	if n := *body.MaxTokens; n < 1 || n > MaxMaxTokens {
		return badField("max_tokens", strconv.Itoa(n), fmt.Sprintf("1 to %d", MaxMaxTokens))
	}
	for i, m := range body.Messages {
		if !slices.Contains(roles, m.Role) {
			return badField(fmt.Sprintf("messages[%d].role", i), strconv.Quote(clip(m.Role)), strings.Join(roles, ", "))
		}
	}
	return nil
}

// clip keeps a caller's long value out of the error body.
func clip(s string) string {
	const limit = 64
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}

// Prompt returns the conversation as the text that engines get, one "role: content" per message.
func Prompt(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		// Further lines are indented, so that content can't imitate a message of another role.
		b.WriteString(strings.ReplaceAll(m.Content, "\n", "\n "))
		b.WriteString("\n")
	}
	return b.String()
}

// ChatCompletion is the whole answer to a model request, or one event of a stream.
type ChatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"` // seconds since 1970
	Model   string             `json:"model"`
	Choices []ChatChoice       `json:"choices"`
	Usage   *ChatUsage         `json:"usage,omitempty"`
	Outcome *rocktable.Outcome `json:"outcome,omitempty"` // in the last event of a stream
}

// ChatChoice is the one choice of an answer.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is what one event adds to a message.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatUsage counts the tokens of an answer; the router does not know those of the prompt.
type ChatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// finishReason tells whether an answer ended by itself.
func finishReason(tokens, maxTokens int) *string {
	reason := "stop"
	if tokens >= maxTokens {
		reason = "length"
	}
	return &reason
}
