// Package rocklookup resolves the names in a caller's request against the
// Snapshot and refuses requests that the configuration does not allow. It
// depends on no message format, so that every front end can use it.
package rocklookup
