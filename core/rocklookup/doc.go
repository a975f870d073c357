// Package rocklookup resolves the names in a caller's request against the
// Snapshot and refuses what they don't allow. It knows no message format, so
// that every front end can use it.
package rocklookup
