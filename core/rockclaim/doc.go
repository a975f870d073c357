// Package rockclaim runs application calls: a non-idempotent call is claimed
// in the table service before its one run, and its outcome is recorded there.
package rockclaim
