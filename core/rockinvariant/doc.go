// Package rockinvariant lists the properties of a World that must hold at the
// end of every tick. They are checked in production too: every violation is
// counted, and the first one of each invariant is logged.
package rockinvariant
