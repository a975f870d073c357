// Package rockschema converts between the protobuf messages of the operators'
// and peers' protocols and the plain structs of core/rocktable.
//
// It makes no decisions: it refuses what cannot be represented, and leaves the
// check of values to the receivers of the structs.
package rockschema
