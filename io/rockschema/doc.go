// Package rockschema converts between the protobuf messages of the operators'
// and peers' protocols and the plain structs of core/rocktable.
//
// A peer's message with values that the control state must not hold is
// rejected. Configurations from operators are converted unchecked; package
// rockoperator validates them.
package rockschema
