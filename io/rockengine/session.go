package rockengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rockresponse"
)

const (
	// freeLineBytes is the part of a line that is not counted: it belongs to the memory for the request.
	freeLineBytes = 4 << 10
	// numberBytes is the memory of a decoded number of a list, whose slice has grown by doubling.
	numberBytes = 16
)

// stream is one connection of a session.
type stream struct {
	client       *client
	address      string
	transport    *rockresponse.Transport
	req          OpenRequest
	checkOpened  func(OpenReply) error
	maxLineBytes int
	writer       *io.PipeWriter
	cancel       func() // ends the HTTP request
	reader       *bufio.Reader
	body         io.Closer
	held         *rockmemory.Holding // last line and what it was decoded to
}

// open opens a session. ctx limits only the opening; the session lasts until Close.
func (c *client) open(ctx context.Context, address string, req OpenRequest) (*Session, error) {
	return c.openOn(ctx, &stream{
		client: c, address: address, transport: c.transport(address), req: req,
		checkOpened: func(OpenReply) error { return nil },
	})
}

// resume opens a stream on another connection for the same session.
func (s *stream) resume(ctx context.Context, step Step) (*Session, error) {
	req := s.req
	req.Resume = true
	return s.client.openOn(ctx, &stream{
		client: s.client, address: s.address, transport: s.client.replaceTransport(s.address, s.transport), req: req,
		checkOpened: func(reply OpenReply) error { return CheckResume(req, step, reply) },
	})
}

func (c *client) openOn(ctx context.Context, s *stream) (*Session, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	reader, writer := io.Pipe()
	// The transport ignores the context while it waits for the next line, so cancelling also has to close the pipe.
	end := func() {
		cancel()
		writer.CloseWithError(io.ErrClosedPipe)
	}
	stop := context.AfterFunc(ctx, end)
	s.maxLineBytes, s.writer, s.cancel = c.options.MaxLineBytes, writer, end
	s.held = c.options.Memory.Open(rockmemory.Owner{Kind: rockmemory.Server, Name: s.address})
	err := s.start(streamCtx, reader)
	if !stop() && err == nil {
		err = fmt.Errorf("%w: %w", ErrLost, ctx.Err())
	}
	if err != nil {
		s.close()
		return nil, withCause(ctx, err)
	}
	return &Session{Step: s.step, Resume: s.resume, Close: s.close}, nil
}

// withCause adds the context's error to err, unless there is none or err already wraps it.
func withCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", err, cause)
	}
	return err
}

// start sends the OpenRequest and reads the answer.
func (s *stream) start(ctx context.Context, reader *io.PipeReader) error {
	ctx, trace := withTrace(ctx)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, targetURL(s.address, "/v1/sessions"), reader)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	resp, err := s.transport.RoundTrip(r)
	if err != nil {
		return trace.classify(err)
	}
	s.reader, s.body = bufio.NewReader(resp.Body), resp.Body
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
	return s.checkOpened(reply)
}

func (s *stream) close() {
	s.cancel()
	if s.body != nil {
		s.body.Close()
	}
	s.held.Close()
}

// step runs one step. If ctx ends first, the session is closed, because a late answer would be
// taken for that to the next step.
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
	if len(line) >= s.maxLineBytes {
		return fmt.Errorf("%w: %d bytes, want at most %d", ErrTooLarge, len(line), s.maxLineBytes)
	}
	if _, err := s.writer.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

// read reads a line. A line that is too long, or for which the host has no memory, is not a lost connection: the error is
// ErrTooLarge alone.
func (s *stream) read(v any) error {
	s.held.Release()
	line, err := readLine(s.reader, s.maxLineBytes, s.reserve)
	if errors.Is(err, ErrTooLarge) {
		return err
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	if err := json.Unmarshal(line, v); err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

// reserve reserves memory for the next part of a line that has length bytes so far, and for what it is decoded to: texts of
// the same length, and numbers.
func (s *stream) reserve(length int, part []byte) bool {
	if length+len(part) <= freeLineBytes {
		return true
	}
	return s.held.Reserve(int64(2*len(part) + numberBytes*bytes.Count(part, []byte{','})))
}

// ReadLine reads one line of at most limit bytes, including its end, and returns it without the end. Its error is
// ErrTooLarge for a longer line and io.ErrUnexpectedEOF for an incomplete one.
func ReadLine(r *bufio.Reader, limit int) ([]byte, error) {
	return readLine(r, limit, func(int, []byte) bool { return true })
}

// readLine is like ReadLine, and asks for memory for each part after the first length bytes.
func readLine(r *bufio.Reader, limit int, reserve func(length int, part []byte) bool) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, fmt.Errorf("%w: line of more than %d bytes", ErrTooLarge, limit)
		}
		if !reserve(len(line), part) {
			return nil, fmt.Errorf("%w: %w after %d bytes of a line", ErrTooLarge, rockmemory.ErrNoRoom, len(line))
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

// CheckResume returns ErrOutOfStep unless the engine's state is that before or that after the step.
func CheckResume(req OpenRequest, step Step, reply OpenReply) error {
	isAfter := reply.Index == step.Index+1 && reply.Position > step.Position
	isBefore := reply.Index == step.Index && reply.Position == step.Position
	if reply.Epoch != req.Epoch || !isAfter && !isBefore {
		return fmt.Errorf("%w: resumed in epoch %d with %d positions before index %d, want epoch %d with %d positions before index %d",
			ErrOutOfStep, reply.Epoch, reply.Position, reply.Index, req.Epoch, step.Position, step.Index)
	}
	return nil
}

// CheckReply returns ErrOutOfStep unless the reply matches the step of the session.
func CheckReply(req OpenRequest, step Step, reply StepReply) error {
	switch {
	case reply.Epoch != req.Epoch:
		return fmt.Errorf("%w: epoch %d, want %d", ErrOutOfStep, reply.Epoch, req.Epoch)
	case reply.Index != step.Index:
		return fmt.Errorf("%w: index %d, want %d", ErrOutOfStep, reply.Index, step.Index)
	case reply.Error != "":
		return fmt.Errorf("%w: step refused: %s", ErrOutOfStep, reply.Error)
	}
	added := reply.Position - step.Position
	known := len(step.Tokens) + len(step.Activations)
	// Only the engine knows how many positions a prompt has.
	isExact := step.Prompt == ""
	switch {
	case added < max(known, 1) || isExact && added != known:
		return fmt.Errorf("%w: position %d after position %d and a step of at least %d", ErrOutOfStep, reply.Position, step.Position, known)
	case len(reply.Activations) != 0 && len(reply.Activations) != added:
		return fmt.Errorf("%w: %d activations for %d new positions", ErrOutOfStep, len(reply.Activations), added)
	}
	return nil
}
