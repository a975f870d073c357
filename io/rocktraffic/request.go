package rocktraffic

import "sassafrasrock/core/rocktable"

// ChatRequest is a model request from a caller who is already known.
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

// CallRequest is an application call from a caller who is already known.
type CallRequest struct {
	Caller     rocktable.CallerID
	Service    rocktable.ServiceID
	Idempotent bool
	Key        string // idempotency key
	Method     string
	Path       string // with the query, beginning with a slash
	Type       string // content type
	Body       []byte
}
