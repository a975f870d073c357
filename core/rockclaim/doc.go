// Package rockclaim runs application calls: a non-idempotent call is claimed
// in the table service before its one run, and its outcome is recorded there.
//
// A claim whose holder failed stays claimed and is never run again. A resend
// gets InProgress at first. Each host notes, by its own monotonic clock, when
// it first saw the row at its present version; once that is longer ago than
// the longest call, no run under the claim can end any more, and resends get
// OutcomeUnknown. No clock of another host is read, and the row is not
// changed, so that a late record still takes effect.
package rockclaim
