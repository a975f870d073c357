// Package rockrelay forwards requests from callers to backend servers and answers back to the
// callers. A backend server receives either a model request with the path of stages to run it on,
// or a call to an application.
//
// One goroutine serves each request. It reports the arrival to the control thread, opens the
// attempts that the control thread starts, forwards the events of a stream as they arrive, and
// reports the first event, a stall and the end of each attempt. Message encodings stay behind the
// function fields Open, FetchWaiting, FetchProcess and Move, and behind Sink.
package rockrelay
