// Package rockreason lists each reason for which a request is refused, retried
// or failed, and each kind of bad input that is counted.
//
// A reason is a data value. The counters, the error bodies that callers get,
// the explain command and the operators' page are all made from All.
package rockreason
