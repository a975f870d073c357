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
	// bytesPerToken converts the length of a prompt into an estimate of its tokens before an engine has tokenised it.
	bytesPerToken = 4
	// prefixBlock is the length in bytes of the prompt blocks that are hashed to detect shared prefixes.
	prefixBlock = 256
	// maxPrefixes limits the prefix hashes of one request. It bounds the control state that a long prompt takes.
	maxPrefixes = 32
)

// chat is a model request between its arrival and its answer.
type chat struct {
	traffic *Traffic
	id      rocktable.RequestID
	req     ChatRequest
	ctx     context.Context
	tokens  chan Token // has capacity for a complete answer, so a slow caller blocks no backend server
	answer  chan rocktable.Answer

	mu      sync.Mutex
	stream  rockstream.Stream
	attempt rocktable.AttemptID
	cancel  context.CancelFunc        // of the current attempt
	stalled rocktable.BackendServerID // for whose silence the current attempt was canceled; 0 for another reason
}

// Chat runs a model request, passes its tokens to emit in order and returns the answer after the
// last of them. Its errors are the context's and those of emit.
func (t *Traffic) Chat(ctx context.Context, req ChatRequest, emit func(Token) error) (rocktable.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &chat{
		traffic: t, id: t.NextRequestID(), req: req, ctx: ctx,
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
			return stoppedAnswer(c.id), nil
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

// flush emits the tokens that are still buffered when the answer arrives.
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

// abandon ends a request whose caller disconnected.
func (c *chat) abandon() rocktable.Answer {
	c.traffic.Post(func(in *rocktable.Inbox) {
		in.CallerDisconnects = append(in.CallerDisconnects, rocktable.CallerDisconnect{Request: c.id})
	})
	select {
	case answer := <-c.answer:
		return answer
	case <-c.traffic.Stopped:
		return stoppedAnswer(c.id)
	}
}

// begin makes an attempt the current one and returns its context and the tokens to replay, or false if a newer attempt
// has begun.
func (c *chat) begin(start rocktable.Start) (context.Context, []uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replay, ok := c.stream.BeginAttempt(start.Epoch)
	if !ok {
		return nil, nil, false
	}
	if c.cancel != nil {
		c.cancel()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.attempt, c.cancel, c.stalled = start.Attempt, cancel, 0
	return ctx, replay, true
}

// acceptToken checks the next token of an attempt and sends it to the caller's goroutine. It returns the reason if the
// token was rejected, and the number of tokens of the answer.
func (c *chat) acceptToken(epoch uint32, index int, token uint32, text string) (rockreason.Code, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	code := c.stream.Accept(c.traffic.Now(), epoch, index, token)
	if code == "" {
		c.tokens <- Token{Index: len(c.stream.Tokens) - 1, Text: text}
	}
	return code, len(c.stream.Tokens)
}

func (c *chat) cancelAttempt(cancel rocktable.Cancel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt == cancel.Attempt && c.cancel != nil {
		c.stalled = cancel.StalledServer
		c.cancel()
	}
}

// stalledServer returns the backend server for whose silence an attempt was canceled, or 0.
func (c *chat) stalledServer(id rocktable.AttemptID) rocktable.BackendServerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != id {
		return 0
	}
	return c.stalled
}

// name returns the identifier of the request at the engines.
func (c *chat) name() string { return fmt.Sprintf("%s/%d", c.traffic.HostIncarnation, c.id) }
