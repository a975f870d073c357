// Package rockreason lists the reasons for which a request or a configuration change is refused, is
// retried or fails, for which a message or an order is dropped, and for which input is rejected.
//
// A reason is a data value. The counters, the error bodies of responses to callers, the explain
// command and the table in docs/operating.md are generated from All.
package rockreason
