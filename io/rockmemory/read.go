package rockmemory

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// firstStepBytes and stepBytes are the sizes of the first and the largest part in which memory is reserved for data
	// without a declared length. Most such data fits into the first. Each further part is as large as all before it, so that
	// short data does not take more than a small holding may have.
	firstStepBytes = 4 << 10
	stepBytes      = 64 << 10
)

// ErrNoRoom reports that the account, or the share of an owner, has no room for the next part of what is read.
var ErrNoRoom = eris.New("no memory for what is received")

// Reader reads one body into memory that it reserves before it reads.
type Reader struct {
	Source io.Reader
	Held   *Holding
	// BeforeStep is called before each part of n bytes, with the number of bytes received so far; nil for none.
	BeforeStep func(received, n int)
	// MakeRoom is called when there is no room for n bytes, and reports whether to try once more; nil means no.
	MakeRoom func(n int64) bool
	// Prepaid is the number of first bytes for which memory has been reserved before.
	Prepaid int64

	received int
	reserved int64
}

// ReadAll returns the whole body. A negative length means that it was not declared. The errors are ErrNoRoom,
// io.ErrUnexpectedEOF for a body that is shorter than declared, and those of the source. After an error nothing stays
// reserved.
func (r *Reader) ReadAll(length int64) ([]byte, error) {
	body, err := r.read(length)
	if err != nil {
		r.Held.Shrink(r.reserved)
	}
	return body, err
}

func (r *Reader) read(length int64) ([]byte, error) {
	if length < 0 {
		return r.readSteps()
	}
	if !r.reserve(length) {
		return nil, ErrNoRoom
	}
	body := make([]byte, length)
	for begin := 0; begin < len(body); begin += stepBytes {
		if _, err := r.fill(body[begin:min(begin+stepBytes, len(body))]); err != nil {
			return nil, unexpected(err)
		}
	}
	return body, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readSteps reads a body without a declared length in parts and joins them.
func (r *Reader) readSteps() ([]byte, error) {
	var parts [][]byte
	for size := firstStepBytes; ; size = min(r.received, stepBytes) {
		if !r.reserve(int64(size)) {
			return nil, ErrNoRoom
		}
		part := make([]byte, size)
		n, err := r.fill(part)
		parts = append(parts, part[:n])
		if errors.Is(err, io.EOF) {
			return r.join(parts)
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the parts in one slice. Until it is done, both are held.
func (r *Reader) join(parts [][]byte) ([]byte, error) {
	if len(parts) == 1 {
		return parts[0], nil
	}
	apart := r.reserved
	if !r.reserve(int64(r.received)) {
		return nil, ErrNoRoom
	}
	body := make([]byte, 0, r.received)
	for _, p := range parts {
		body = append(body, p...)
	}
	r.Held.Shrink(apart)
	return body, nil
}

// reserve reserves n bytes, or what the prepaid ones do not cover.
func (r *Reader) reserve(n int64) bool {
	covered := min(n, r.Prepaid)
	missing := n - covered
	if !r.Held.Reserve(missing) && (r.MakeRoom == nil || !r.MakeRoom(missing) || !r.Held.Reserve(missing)) {
		return false
	}
	r.Prepaid -= covered
	r.reserved += missing
	return true
}

// fill reads until p is full. Unlike io.ReadFull it returns the error of the source unchanged, since io.ErrUnexpectedEOF
// says there that a body was broken off.
func (r *Reader) fill(p []byte) (int, error) {
	if r.BeforeStep != nil {
		r.BeforeStep(r.received, len(p))
	}
	n, err := Fill(r.Source, p)
	r.received += n
	return n, err
}

// Fill reads until p is full, and returns the number of bytes read. The error is that of the source, unless p is full.
func Fill(source io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = source.Read(p[n:])
		n += m
	}
	if n == len(p) && errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}
