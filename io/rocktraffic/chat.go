package rocktraffic

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rockstream"
	"sassafrasrock/core/rocktable"
)

const (
	// bytesPerToken estimates the length of a prompt in tokens before an engine has tokenised it.
	bytesPerToken = 4
	// prefixBlock is the length in bytes of the blocks by which prompts with a shared prefix are recognised.
	prefixBlock = 256
	// maxPrefixes limits the prefix hashes of one request, so that a long prompt does not fill the control state.
	maxPrefixes = 32
)

// chat is a model request between its arrival and its answer.
type chat struct {
	t      *Traffic
	id     rocktable.RequestID
	req    ChatRequest
	ctx    context.Context
	tokens chan Token // holds a whole answer, so that a slow caller holds no backend server
	answer chan rocktable.Answer

	mu      sync.Mutex
	stream  rockstream.Stream
	attempt rocktable.AttemptID
	cancel  context.CancelFunc // of the current attempt
}

// Chat runs a model request, passes its tokens to emit in order, and returns the answer when all of them were passed on; its errors are the context's and those of emit.
func (t *Traffic) Chat(ctx context.Context, req ChatRequest, emit func(Token) error) (rocktable.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &chat{
		t: t, id: t.NextRequest(), req: req, ctx: ctx,
		tokens: make(chan Token, req.MaxTokens), answer: make(chan rocktable.Answer, 1),
	}
	t.addChat(c)
	row := c.row(t.Now())
	t.Post(func(in *rocktable.Inbox) { in.Arrivals = append(in.Arrivals, rocktable.Arrival{Request: row}) })
	for {
		select {
		case token := <-c.tokens:
			if err := emit(token); err != nil {
				return c.abandon(), err
			}
		case answer := <-c.answer:
			return answer, c.flush(emit)
		case <-ctx.Done():
			return c.abandon(), ctx.Err()
		case <-t.Stopped:
			return stopped(c.id), nil
		}
	}
}

func (t *Traffic) addChat(c *chat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.chats == nil {
		t.chats = make(map[rocktable.RequestID]*chat)
	}
	t.chats[c.id] = c
}

func (c *chat) row(now time.Time) rocktable.Request {
	prefixes := prefixHashes(c.req.Prompt)
	return rocktable.Request{
		ID: c.id, Caller: c.req.Caller, Rank: c.req.Rank, Pipeline: c.req.Pipeline, ArrivedAt: now,
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

// flush passes on the tokens that are left when the answer has come.
func (c *chat) flush(emit func(Token) error) error {
	for {
		select {
		case token := <-c.tokens:
			if err := emit(token); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// abandon ends a request whose caller has left.
func (c *chat) abandon() rocktable.Answer {
	c.t.Post(func(in *rocktable.Inbox) {
		in.CallerGone = append(in.CallerGone, rocktable.CallerGone{Request: c.id})
	})
	select {
	case answer := <-c.answer:
		return answer
	case <-c.t.Stopped:
		return stopped(c.id)
	}
}

// begin makes an attempt the current one and returns the tokens to replay, or false if a newer attempt has begun.
func (c *chat) begin(start rocktable.Start) (context.Context, []uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replay, ok := c.stream.Begin(start.Epoch)
	if !ok {
		return nil, nil, false
	}
	if c.cancel != nil {
		c.cancel()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.attempt, c.cancel = start.Attempt, cancel
	return ctx, replay, true
}

// take accepts the next token of an attempt and hands it to the caller's goroutine.
func (c *chat) take(epoch uint32, index int, token uint32, text string) (rockreason.Code, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	code := c.stream.Take(c.t.Now(), epoch, index, token)
	if code == "" {
		c.tokens <- Token{Index: len(c.stream.Tokens) - 1, Text: text}
	}
	return code, len(c.stream.Tokens)
}

func (c *chat) cancelAttempt(id rocktable.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt == id && c.cancel != nil {
		c.cancel()
	}
}

// name identifies the request at the engines.
func (c *chat) name() string { return fmt.Sprintf("%s/%d", c.t.Host, c.id) }
