// Package rockend holds the ways in which a request can end. Its table says
// which causes may end a request that has begun, and what its caller is told.
// Each answer of the control thread is written here, so that no other package
// can end a request for a reason of its own: silence, a lost report, a changed
// configuration, a full queue or a spent budget may end an attempt or delay the
// next one, never a request that still has time.
package rockend
