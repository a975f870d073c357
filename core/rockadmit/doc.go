// Package rockadmit admits or refuses new requests, and orders waiting ones by
// rank, floor and the callers' shares.
package rockadmit
