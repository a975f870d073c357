package rockguard_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/io/rockguard"
)

// Guards against a panic that ends the process, and against one that leaves no trace.
func TestPanicIsLoggedAndCounted(t *testing.T) {
	var log bytes.Buffer
	counted, then := 0, 0
	g := rockguard.Guard{Log: slog.New(slog.NewJSONHandler(&log, nil)), Count: func(code rockreason.Code) {
		if code == rockreason.InternalError {
			counted++
		}
	}}
	func() {
		defer g.Recover(func() { then++ }, "request", "a1")
		panic("boom")
	}()
	g.Do(func() { panic("bang") })
	if counted != 2 || then != 1 {
		t.Errorf("counted %d panics and ran %d ends, want 2 and 1", counted, then)
	}
	for _, want := range []string{`"request":"a1"`, "boom", "bang", "guard_test.go"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("log lacks %q: %s", want, log.String())
		}
	}
}

// Guards against an aborted answer that is logged as an error and ends as if it were complete.
func TestAbortedHandlerGoesOn(t *testing.T) {
	g := rockguard.Guard{Log: slog.New(slog.DiscardHandler), Count: func(rockreason.Code) { t.Error("an aborted handler was counted") }}
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Error("http.ErrAbortHandler did not go on")
		}
	}()
	g.Do(func() { panic(http.ErrAbortHandler) })
}
