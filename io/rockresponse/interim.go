package rockresponse

import (
	"fmt"
	"net/textproto"
)

// interimBytes is counted for each interim response beside its fields, since net/http does not tell the length of its first
// line.
const interimBytes = 64

// interimResponses checks the responses with status 1xx that come before the final one. net/http has no limit for them where
// they are checked.
type interimResponses struct {
	left int64 // bytes that they may still have
}

// check returns ErrMalformed for an invalid interim response and ErrTooLong for too many.
func (i *interimResponses) check(status int, header textproto.MIMEHeader) error {
	if err := checkNames(map[string][]string(header)); err != nil {
		return fmt.Errorf("interim response with status %d: %w", status, err)
	}
	i.left -= interimBytes
	for name, values := range header {
		for _, value := range values {
			i.left -= int64(len(name) + len(value))
		}
	}
	if i.left < 0 {
		return fmt.Errorf("interim responses: %w", ErrTooLong)
	}
	return nil
}
