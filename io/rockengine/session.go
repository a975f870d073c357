package rockengine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// stream is the state of an open session.
type stream struct {
	client  *client
	address string
	conns   *http.Transport // that the stream uses
	req     OpenRequest
	check   func(OpenReply) error
	maxLine int
	out     *io.PipeWriter
	end     func() // ends the request
	in      *bufio.Reader
	body    io.Closer
}

// open opens a session; ctx bounds the opening, and the session lasts until Close.
func (c *client) open(ctx context.Context, address string, req OpenRequest) (*Session, error) {
	return c.openOn(ctx, &stream{
		client: c, address: address, conns: c.transport(address), req: req,
		check: func(OpenReply) error { return nil },
	})
}

// resume opens a stream on another connection for the session of s.
func (s *stream) resume(ctx context.Context, step Step) (*Session, error) {
	req := s.req
	req.Resume = true
	return s.client.openOn(ctx, &stream{
		client: s.client, address: s.address, conns: s.client.renew(s.address, s.conns), req: req,
		check: func(reply OpenReply) error { return CheckResume(req, step, reply) },
	})
}

func (c *client) openOn(ctx context.Context, s *stream) (*Session, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	reader, writer := io.Pipe()
	// The transport does not look at the context while it waits for the next line, so the pipe ends with it.
	end := func() {
		cancel()
		writer.CloseWithError(io.ErrClosedPipe)
	}
	stop := context.AfterFunc(ctx, end)
	s.maxLine, s.out, s.end = c.options.MaxLine, writer, end
	err := s.start(life, reader)
	if !stop() && err == nil {
		err = fmt.Errorf("%w: %w", ErrLost, ctx.Err())
	}
	if err != nil {
		s.close()
		return nil, withCause(ctx, err)
	}
	return &Session{Step: s.step, Resume: s.resume, Close: s.close}, nil
}

// withCause adds the context's error, if it has one that err does not show.
func withCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", err, cause)
	}
	return err
}

// start sends the first line and reads the answer to it.
func (s *stream) start(life context.Context, reader *io.PipeReader) error {
	life, trace := withTrace(life)
	r, err := http.NewRequestWithContext(life, http.MethodPost, target(s.address, "/v1/sessions"), reader)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	resp, err := s.conns.RoundTrip(r)
	if err != nil {
		return trace.classify(err)
	}
	s.in, s.body = bufio.NewReader(resp.Body), resp.Body
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrNotStarted, resp.StatusCode)
	}
	if err := s.write(s.req); err != nil {
		return err
	}
	var reply OpenReply
	if err := s.read(&reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return fmt.Errorf("%w: %s: %s", ErrNotStarted, reply.Code, reply.Text)
	}
	return s.check(reply)
}

func (s *stream) close() {
	s.end()
	if s.body != nil {
		s.body.Close()
	}
}

// step runs one step; when ctx ends first, the session is closed, because a late answer would put it out of step.
func (s *stream) step(ctx context.Context, step Step) (StepReply, error) {
	if err := ctx.Err(); err != nil {
		return StepReply{}, err
	}
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	if err := s.write(step); err != nil {
		return StepReply{}, withCause(ctx, err)
	}
	var reply StepReply
	if err := s.read(&reply); err != nil {
		return StepReply{}, withCause(ctx, err)
	}
	if err := CheckReply(s.req, step, reply); err != nil {
		return reply, err
	}
	return reply, nil
}

func (s *stream) write(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(line) >= s.maxLine {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(line), s.maxLine)
	}
	if _, err := s.out.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

func (s *stream) read(v any) error {
	line, err := ReadLine(s.in, s.maxLine)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	if err := json.Unmarshal(line, v); err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

// ReadLine reads one line of at most limit bytes without its end; a longer line is ErrTooLarge, an incomplete one io.ErrUnexpectedEOF.
func ReadLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, fmt.Errorf("%w: at most %d", ErrTooLarge, limit)
		}
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(line) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// CheckResume returns ErrMisstep unless the engine holds the state before the step, or that after it.
func CheckResume(req OpenRequest, step Step, reply OpenReply) error {
	hasRun := reply.Index == step.Index+1 && reply.Position > step.Position
	isDue := reply.Index == step.Index && reply.Position == step.Position
	if reply.Epoch != req.Epoch || !hasRun && !isDue {
		return fmt.Errorf("%w: resumed in epoch %d with %d positions before index %d, asked for epoch %d with %d positions before index %d",
			ErrMisstep, reply.Epoch, reply.Position, reply.Index, req.Epoch, step.Position, step.Index)
	}
	return nil
}

// CheckReply returns ErrMisstep unless the reply answers the step of the session.
func CheckReply(req OpenRequest, step Step, reply StepReply) error {
	switch {
	case reply.Epoch != req.Epoch:
		return fmt.Errorf("%w: epoch %d, asked for %d", ErrMisstep, reply.Epoch, req.Epoch)
	case reply.Index != step.Index:
		return fmt.Errorf("%w: index %d, asked for %d", ErrMisstep, reply.Index, step.Index)
	case reply.Error != "":
		return fmt.Errorf("%w: refused: %s", ErrMisstep, reply.Error)
	}
	added := reply.Position - step.Position
	least := len(step.Tokens) + len(step.Activations)
	// Only the engine knows how many positions a prompt has.
	exact := step.Prompt == ""
	switch {
	case added < max(least, 1) || exact && added != least:
		return fmt.Errorf("%w: position %d after %d and a step of %d", ErrMisstep, reply.Position, step.Position, least)
	case len(reply.Activations) != 0 && len(reply.Activations) != added:
		return fmt.Errorf("%w: %d activations for %d positions", ErrMisstep, len(reply.Activations), added)
	}
	return nil
}
