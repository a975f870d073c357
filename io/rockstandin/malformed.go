package rockstandin

import (
	"fmt"
	"strings"
)

// MalformedAnswers returns answers that are not valid HTTP although net/http accepts them, by what is wrong with them. Each
// has the fields, which end with line breaks, and the body. Names that begin with "trailer" are of answers whose fault comes
// after the body.
func MalformedAnswers(fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	head := func(first string, lines ...string) string {
		return first + "\r\n" + fields + strings.Join(lines, "") + "\r\n"
	}
	sound := head("HTTP/1.1 200 OK", length) + body
	return map[string]string{
		"status 000":                    head("HTTP/1.1 000 None", length) + body,
		"status 099":                    head("HTTP/1.1 099 None", length) + body,
		"status 101":                    head("HTTP/1.1 101 Switching Protocols", "Connection: upgrade\r\nUpgrade: x\r\n") + body,
		"status 600":                    head("HTTP/1.1 600 None", length) + body,
		"status 999":                    head("HTTP/1.1 999 None", length) + body,
		"version 0.9":                   head("HTTP/0.9 200 OK", length) + body,
		"version 2.0":                   head("HTTP/2.0 200 OK", length) + body,
		"space in a name":               head("HTTP/1.1 200 OK", "X Y: 1\r\n", length) + body,
		"space after a name":            head("HTTP/1.1 200 OK", "X-Y : 1\r\n", length) + body,
		"space after a length":          head("HTTP/1.1 200 OK", "Content-Length : 2\r\n") + body,
		"space after a transfer coding": head("HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n") + chunks + "\r\n",
		"transfer coding in HTTP/1.0":   head("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n") + chunks + "\r\n",
		"length and coding in HTTP/1.0": head("HTTP/1.0 200 OK", length, "transfer-encoding:chunked\r\n") + body,
		"coding after an interim head":  "HTTP/1.1 103 Early Hints\r\nX-Y: 1\r\n\r\n" + head("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n") + chunks + "\r\n",
		"space in an interim name":      "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + sound,
		"second interim answer":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Y : 1\r\n\r\n" + sound,
		"trailer, space in a name":      head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n") + chunks + "X Y: 1\r\n\r\n",
		"trailer, space after a name":   head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTrailer: X-Y\r\n") + chunks + "X-Y : 1\r\n\r\n",
	}
}
