package rocktarget

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// insertion is a text that net/http does not write into the request line.
type insertion struct {
	offset int // from the beginning of the request
	text   string
}

type insertionKey struct{}

// Set returns a request that is sent with this target. The transport must open its connections by DialContext of this
// package, one for each request. The error wraps ErrInvalid.
func Set(req *http.Request, target string) (*http.Request, error) {
	if _, _, err := split(req.Method, target); err != nil {
		return nil, err
	}
	req.URL.Opaque = target
	if !strings.HasPrefix(target, "//") {
		return req, nil
	}
	// net/http puts the scheme before an opaque target that begins with two slashes, so that it would become a URI whose
	// host is the first segment. It gets one slash, and the connection inserts the others.
	req.URL.Opaque = "/" + strings.TrimLeft(target, "/")
	missing := insertion{offset: len(req.Method) + len(" "), text: target[:len(target)-len(req.URL.Opaque)]}
	return req.WithContext(context.WithValue(req.Context(), insertionKey{}, missing)), nil
}

// DialContext returns a function that opens connections for requests from Set.
func DialContext(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		missing, ok := ctx.Value(insertionKey{}).(insertion)
		if err != nil || !ok {
			return c, err
		}
		return &insertingConn{Conn: c, missing: missing}, nil
	}
}

// insertingConn inserts a text into the bytes that are written to a connection.
type insertingConn struct {
	net.Conn
	missing insertion // its offset is from the next byte; its text is empty once it was written
}

// Write implements io.Writer. The inserted text does not count in the returned number.
func (c *insertingConn) Write(p []byte) (int, error) {
	at, text := c.missing.offset, c.missing.text
	if text == "" || len(p) <= at {
		n, err := c.Conn.Write(p)
		c.missing.offset -= n
		return n, err
	}
	c.missing.text = ""
	n, err := c.Conn.Write(slices.Concat(p[:at], []byte(text), p[at:]))
	if n > at {
		n = max(at, n-len(text))
	}
	return n, err
}
