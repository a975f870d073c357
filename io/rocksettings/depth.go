package rocksettings

import "bytes"

// maxDepth is the maximum nesting depth of lists and objects in a file.
const maxDepth = 64

// isTooDeep reports whether lists and objects are nested deeper than maxDepth. hujson.Parse has no
// limit of its own: 1 MiB of opening brackets overflows its stack and crashes the process.
func isTooDeep(data []byte) bool {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		}
		if depth > maxDepth {
			return true
		}
	}
	return false
}

// skipString returns the offset of the closing quote of the string that starts at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i, or i if no comment
// starts there.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	end := "\n"
	if bytes.HasPrefix(rest, []byte("/*")) {
		end = "*/"
	} else if !bytes.HasPrefix(rest, []byte("//")) {
		return i
	}
	at := bytes.Index(rest[2:], []byte(end))
	if at < 0 {
		return len(data)
	}
	return i + 2 + at + len(end) - 1
}
