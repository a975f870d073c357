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
	// DefaultMaxTokens applies to requests without max_tokens.
	DefaultMaxTokens = 512
	// MaxMaxTokens limits max_tokens, and with it the memory for tokens that a slow caller has not read yet.
	MaxMaxTokens = 32768

	maxMessages = 4096
)

var roles = []string{"system", "user", "assistant", "tool"}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody is the body of a model request. Unknown fields are ignored.
type ChatBody struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"` // nil means DefaultMaxTokens
	Stream    bool          `json:"stream"`
	Rank      string        `json:"rank"` // empty means the first of the caller's ranks
}

// invalidBody is the error for a body that cannot be decoded or fails validation.
type invalidBody struct {
	code   rockreason.Code
	detail string
}

func (e *invalidBody) Error() string { return string(e.code) + ": " + e.detail }

func badField(field, value, allowed string) *invalidBody {
	return &invalidBody{
		code:   rockreason.BadField,
		detail: fmt.Sprintf("%s: %s is not allowed; allowed: %s.", field, value, allowed),
	}
}

// decodeChat decodes and validates the body of a model request. It sets max_tokens to the default if it is missing.
func decodeChat(data []byte) (ChatBody, *invalidBody) {
	var body ChatBody
	if err := json.Unmarshal(data, &body); err != nil {
		if wrong := new(json.UnmarshalTypeError); errors.As(err, &wrong) {
			return body, badField(fieldName(wrong.Field), "a "+wrong.Value, wrong.Type.String())
		}
		return body, &invalidBody{code: rockreason.BadJSON, detail: err.Error()}
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

func checkChat(body ChatBody) *invalidBody {
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

// clip shortens a caller's value for an error body to 64 bytes.
func clip(s string) string {
	const limit = 64
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}

// FormatPrompt returns the conversation as the prompt text for engines, with one "role: content" entry per message.
func FormatPrompt(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		// Continuation lines are indented. Otherwise content could imitate a message of another role.
		b.WriteString(strings.ReplaceAll(m.Content, "\n", "\n "))
		b.WriteString("\n")
	}
	return b.String()
}

// ChatCompletion is the complete answer to a model request, or one event of a stream.
type ChatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"` // Unix time in seconds
	Model   string             `json:"model"`
	Choices []ChatChoice       `json:"choices"`
	Usage   *ChatUsage         `json:"usage,omitempty"`
	Outcome *rocktable.Outcome `json:"outcome,omitempty"` // in the last event of a stream
}

// ChatChoice is the only choice of an answer.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is the part of a message in one event.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatUsage counts the tokens of an answer. The number of prompt tokens is not known here.
type ChatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// finishReason returns "length" if the answer reached maxTokens and "stop" if it ended before.
func finishReason(tokens, maxTokens int) *string {
	reason := "stop"
	if tokens >= maxTokens {
		reason = "length"
	}
	return &reason
}
