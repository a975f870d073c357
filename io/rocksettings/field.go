package rocksettings

import (
	"bytes"

	"github.com/tailscale/hujson"
)

// HasField reports whether a file has a top-level field. If the file has a syntax error, HasField
// searches the raw text instead: the kind is then still found and the check reports the syntax error.
func HasField(data []byte, field string) bool {
	if isTooDeep(data) {
		return containsName(data, field)
	}
	value, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		return containsName(data, field)
	}
	return value.Find("/"+field) != nil
}

// containsName reports whether the text has the name of a field, wherever it stands.
func containsName(data []byte, field string) bool {
	return bytes.Contains(data, []byte(`"`+field+`"`))
}
