// Package rockexchange holds what the front ends share of a request between its
// arrival and its answer: the delivery of the control thread's decisions to the
// goroutine of the request, its current attempt or call with its cancellation,
// the watch over silence, and the reports of ends and panics. Front ends differ in
// what an attempt sends and how they decode what comes back.
package rockexchange
