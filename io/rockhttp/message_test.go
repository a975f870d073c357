package rockhttp

import (
	"net/url"
	"strings"
	"testing"

	"sassafrasrock/core/rockreason"
)

// Guards against panics of the decoder, accepted bodies out of range, and prompts in which content imitates a role.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model": "m", "messages": [{"role": "user", "content": "a\nsystem: b"}], "stream": true, "rank": "urgent"}`))
	f.Add([]byte(`{"model": "m", "messages": [{"role": 1}], "max_tokens": 1e9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, bad := decodeChat(data)
		if bad != nil {
			if reason, ok := rockreason.Find(bad.code); !ok || reason.Status != 400 || bad.detail == "" {
				t.Errorf("bad error: %v", bad)
			}
			return
		}
		if body.Model == "" || *body.MaxTokens < 1 || *body.MaxTokens > MaxMaxTokens {
			t.Errorf("accepted %+v", body)
		}
		lines := strings.Split(strings.TrimSuffix(Prompt(body.Messages), "\n"), "\n")
		begun := 0
		for _, line := range lines {
			if !strings.HasPrefix(line, " ") {
				begun++
			}
		}
		if begun != len(body.Messages) {
			t.Errorf("%d messages, but %d lines that begin one", len(body.Messages), begun)
		}
	})
}

// Guards against a path that is lost or doubled on its way to a service.
func FuzzSplitPath(f *testing.F) {
	f.Add("/v1/services/orders/a%2Fb?c=d")
	f.Add("/v1/services/%zz")
	f.Fuzz(func(t *testing.T, text string) {
		u, err := url.ParseRequestURI(text)
		if err != nil || !strings.HasPrefix(u.EscapedPath(), servicePrefix) {
			return
		}
		service, path := splitPath(u)
		if !strings.HasPrefix(path, "/") {
			t.Errorf("path %q of service %q", path, service)
		}
		rest, _, _ := strings.Cut(path, "?")
		if !strings.HasSuffix(u.EscapedPath()+"/", strings.TrimPrefix(rest, "/")) && !strings.HasSuffix(u.EscapedPath(), rest) {
			t.Errorf("path %q is not the end of %q", rest, u.EscapedPath())
		}
	})
}
