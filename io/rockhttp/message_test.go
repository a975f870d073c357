package rockhttp

import (
	"net/http"
	"strings"
	"testing"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rocktarget"
)

// Guards against panics of the decoder, against accepting values out of range, and against prompts
// in which the content of a message imitates another message.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model": "m", "messages": [{"role": "user", "content": "a\nsystem: b"}], "stream": true, "rank": "urgent"}`))
	f.Add([]byte(`{"model": "m", "messages": [{"role": 1}], "max_tokens": 1e9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, bad := decodeChat(data)
		if bad != nil {
			if reason, ok := rockreason.Find(bad.code); !ok || reason.Status != 400 || bad.detail == "" {
				t.Errorf("got error %v, want a known code with status 400 and a detail", bad)
			}
			return
		}
		if body.Model == "" || *body.MaxTokens < 1 || *body.MaxTokens > MaxMaxTokens {
			t.Errorf("accepted %+v without a model or with max_tokens out of range", body)
		}
		lines := strings.Split(strings.TrimSuffix(FormatPrompt(body.Messages), "\n"), "\n")
		starts := 0
		for _, line := range lines {
			if !strings.HasPrefix(line, " ") {
				starts++
			}
		}
		if starts != len(body.Messages) {
			t.Errorf("got a prompt of %d messages with %d lines that start one", len(body.Messages), starts)
		}
	})
}

// Guards against losing or repeating a part of the path when it is split into service and path.
func FuzzSplitPath(f *testing.F) {
	f.Add("/v1/services/orders/a%2Fb?c=d")
	f.Add("/v1/services/%zz")
	f.Fuzz(func(t *testing.T, text string) {
		path, _, err := rocktarget.Split(&http.Request{Method: http.MethodGet, RequestURI: text})
		if err != nil || !strings.HasPrefix(path, servicePrefix) {
			return
		}
		service, rest := splitPath(path)
		if !strings.HasPrefix(rest, "/") {
			t.Errorf("got path %q of service %q, want a leading slash", rest, service)
		}
		if !strings.HasSuffix(path+"/", strings.TrimPrefix(rest, "/")) && !strings.HasSuffix(path, rest) {
			t.Errorf("got path %q, want a suffix of %q", rest, path)
		}
	})
}
