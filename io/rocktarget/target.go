package rocktarget

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid reports a request target that cannot be forwarded unchanged.
var ErrInvalid = eris.New("invalid request target")

const absoluteScheme = "http://"

// Split returns the path of a received request, still escaped, and its query with the question mark. It returns an error
// that wraps ErrInvalid if the target may not be forwarded.
func Split(r *http.Request) (path, query string, err error) {
	return split(r.Method, r.RequestURI)
}

// split splits a target in origin form or absolute form. Both may hold any printable byte but the number sign: servers
// disagree on whether that ends the path.
func split(method, target string) (path, query string, err error) {
	if method == http.MethodConnect {
		return "", "", eris.Wrap(ErrInvalid, "method CONNECT opens a tunnel, want any other method")
	}
	if i := strings.IndexFunc(target, isForbidden); i >= 0 {
		return "", "", eris.Wrapf(ErrInvalid, "target %.200q has %q at byte %d, want no space, control character or number sign", target, target[i], i)
	}
	end := strings.IndexByte(target, '?')
	if end < 0 {
		end = len(target)
	}
	path, query = target[:end], target[end:]
	if strings.HasPrefix(path, "/") {
		return path, query, nil
	}
	if len(path) < len(absoluteScheme) || !strings.EqualFold(path[:len(absoluteScheme)], absoluteScheme) {
		return "", "", eris.Wrapf(ErrInvalid, "target %.200q is neither a path nor an http URI", target)
	}
	authority, rest, _ := strings.Cut(path[len(absoluteScheme):], "/")
	if authority == "" || strings.Contains(authority, "@") {
		return "", "", eris.Wrapf(ErrInvalid, "authority of target %.200q is %q, want a host without user information", target, authority)
	}
	return "/" + rest, query, nil
}

func isForbidden(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' }
