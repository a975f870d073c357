// Package rockinvariant lists the properties of a World that must hold at the
// end of every tick. The program checks them in production too: a violation is
// counted and logged once.
package rockinvariant
