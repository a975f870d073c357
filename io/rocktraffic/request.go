package rocktraffic

import (
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
)

// ChatRequest is a model request of an authenticated caller.
type ChatRequest struct {
	Caller    rocktable.CallerID
	Rank      rocktable.RankID
	Pipeline  rocktable.PipelineID
	Prompt    string
	MaxTokens int
}

// Token is one token of an answer.
type Token struct {
	Index int
	Text  string
}

// CallRequest is an application call of an authenticated caller.
type CallRequest struct {
	Caller         rocktable.CallerID
	Service        rocktable.ServiceID
	Idempotent     bool
	IdempotencyKey string
	Method         string
	Path           string // as sent; begins with a slash and includes the query
	ContentType    string
	Body           []byte
	Held           *rockmemory.Holding // bytes of Body; grows with those of the answer
}
