package rockresponse

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a response that is not valid HTTP. The server may have run the request.
var ErrMalformed = eris.New("response is not valid HTTP")

const (
	minFinalStatus = 200
	maxStatus      = 599 // RFC 9110, section 15: values outside of 100 to 599 are invalid
)

// checkHead returns ErrMalformed unless a response, which was read as one of an HTTP major version, has that version, a
// final status and valid field names. net/http itself rejects other faults of a head, such as control bytes.
func checkHead(resp *http.Response, major int) error {
	if resp.ProtoMajor != major {
		return fmt.Errorf("%w: version %q, want major version %d", ErrMalformed, resp.Proto, major)
	}
	if !isFinal(resp) {
		return fmt.Errorf("%w: status %.80q, want %d to %d", ErrMalformed, resp.Status, minFinalStatus, maxStatus)
	}
	return checkNames(resp.Header)
}

// isFinal reports whether a response has a final status of three digits. No request asks for another protocol, so that 101 is
// not final either.
func isFinal(resp *http.Response) bool {
	digits, _, _ := strings.Cut(resp.Status, " ")
	isNumber := digits == strconv.Itoa(resp.StatusCode) // in HTTP/2, net/http accepts signs and leading zeros
	return isNumber && resp.StatusCode >= minFinalStatus && resp.StatusCode <= maxStatus
}

// checkNames returns ErrMalformed if the name of a field is not a token. net/http accepts spaces in names: a length or a
// transfer coding whose name ends with a space has no effect, and the body that is read is not the one that was sent.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.80q", ErrMalformed, name)
		}
	}
	return nil
}
