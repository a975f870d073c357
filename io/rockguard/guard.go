package rockguard

import (
	"errors"
	"log/slog"
	"net/http"
	"runtime/debug"

	"sassafrasrock/core/rockreason"
)

// Guard logs and counts recovered panics.
type Guard struct {
	Log   *slog.Logger
	Count func(code rockreason.Code)
}

// Recover ends a panic of the calling goroutine. It logs the stack with the arguments, counts it, and calls then, which
// may be nil. It must be deferred directly. http.ErrAbortHandler is no error and goes on.
func (g Guard) Recover(then func(), args ...any) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	g.Count(rockreason.InternalError)
	g.Log.Error("internal error", append([]any{"panic", cause, "stack", string(debug.Stack())}, args...)...)
	if then != nil {
		then()
	}
}

// Do runs a function and ends its panic as Recover does.
func (g Guard) Do(f func(), args ...any) {
	defer g.Recover(nil, args...)
	f()
}
