// Package rockrelay carries requests between callers and backend servers that take a whole path or a whole call.
//
// One goroutine serves a request: it tells the control thread of the arrival, opens the attempts that control decides on,
// passes the events of a stream on as they come, and reports first event, stall and end. Encodings are behind the function
// fields Open, Waiting and Move, and behind Sink.
package rockrelay
