// Package rockclaim runs application calls. A non-idempotent call is claimed
// in the table service before its only run, and its outcome is recorded there.
//
// A claim whose holder failed stays claimed, and its call is never run again.
// A retry of the call gets InProgress at first. Each host records, by its own
// monotonic clock, when it first saw the claim row at its present version.
// Once that is longer ago than the longest call, no run under the claim can
// still be in progress, and retries get OutcomeUnknown. No clock of another
// host is read. The row is not changed, so a late record of the outcome still
// takes effect.
package rockclaim
