package rocktraffic

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockstream"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockexchange"
)

const (
	// bytesPerToken converts the length of a prompt into an estimate of its tokens before an engine has tokenised it.
	bytesPerToken = 4
	// prefixBlock is the length in bytes of the prompt blocks that are hashed to detect shared prefixes.
	prefixBlock = 256
	// maxPrefixes limits the prefix hashes of one request. It bounds the control state that a long prompt takes.
	maxPrefixes = 32
)

// chat is a model request between its arrival and its answer.
type chat struct {
	*rockexchange.Exchange
	traffic *Traffic
	req     ChatRequest
	ctx     context.Context // of the caller
	emit    func(Token) error
	emitErr error // of emit; the caller has left
	stream  rockstream.Stream
}

// Chat runs a model request, passes its tokens to emit in order and returns the answer after the
// last of them. emit must not wait for the caller, since it would occupy the slots of backend servers.
// The errors of Chat are the context's and those of emit.
func (t *Traffic) Chat(ctx context.Context, req ChatRequest, emit func(Token) error) (rocktable.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &chat{traffic: t, req: req, ctx: ctx, emit: emit}
	c.Exchange = t.Exchanges.Open(rockexchange.Hooks{Start: c.run})
	defer c.Close()
	c.Arrive(c.row(t.Now()))
	answer, err := c.Serve(ctx)
	if err != nil {
		c.Leave()
		answer, _ = c.Serve(context.Background()) // the control thread still answers, to count the outcome
	}
	return answer, errors.Join(err, c.emitErr)
}

func (c *chat) row(now time.Time) rocktable.Request {
	prefixes := prefixHashes(c.req.Prompt)
	return rocktable.Request{
		ID: c.ID, Caller: c.req.Caller, Rank: c.req.Rank, Pipeline: c.req.Pipeline, ArrivedAt: now,
		PromptTokens: len(c.req.Prompt)/bytesPerToken + 1, MaxTokens: c.req.MaxTokens,
		Fingerprint: Fingerprint(c.req.Prompt), Prefix: prefixes,
	}
}

// Fingerprint identifies the content of a prompt on all hosts.
func Fingerprint(prompt string) uint64 { return xxhash.Sum64String(prompt) }

func prefixHashes(prompt string) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	for end := prefixBlock; end <= len(prompt) && len(hashes) < maxPrefixes; end += prefixBlock {
		d.WriteString(prompt[end-prefixBlock : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// acceptToken checks the next token of an attempt and passes it to the caller. It returns the reason if the token was
// rejected, and the number of tokens of the answer.
func (c *chat) acceptToken(epoch uint32, index int, token uint32, text string) (rockreason.Code, int) {
	code := c.stream.Accept(c.traffic.Now(), epoch, index, token)
	if code == "" {
		c.emitErr = c.emit(Token{Index: len(c.stream.Tokens) - 1, Text: text})
	}
	return code, len(c.stream.Tokens)
}

// name returns the identifier of the request at the engines.
func (c *chat) name() string { return fmt.Sprintf("%s/%d", c.traffic.HostIncarnation, c.ID) }
