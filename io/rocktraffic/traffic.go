package rocktraffic

import (
	"errors"
	"log/slog"
	"time"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockexchange"
	"sassafrasrock/io/rockguard"
	"sassafrasrock/io/rockresponse"
	"sassafrasrock/io/rockservice"
)

// Traffic runs requests for callers.
type Traffic struct {
	HostIncarnation string // host name and incarnation; prefix of the unique names of requests and calls
	// Exchanges are the requests of the host, to which the control thread's decisions go.
	Exchanges *rockexchange.Table
	Engine    *rockengine.Engine
	Service   *rockservice.Client
	PostLater func(fill func(in *rocktable.Inbox)) // for events that need no tick of their own; nil means Exchanges.Post
	Count     func(code rockreason.Code)
	Now       func() time.Time
	Log       *slog.Logger
}

// logMalformed logs an answer that is not valid HTTP, with the backend server that sent it. Other errors have no line.
func (t *Traffic) logMalformed(request, server string, err error) {
	if errors.Is(err, rockresponse.ErrMalformed) {
		t.Log.Warn("answer is not valid HTTP", "request", request, "server", server, "error", err.Error())
	}
}

func (t *Traffic) guard() rockguard.Guard { return rockguard.Guard{Log: t.Log, Count: t.Count} }
