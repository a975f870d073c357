// Package rockcommand implements sassafrasrock, the operators' command line.
//
// Each command is a struct. Its fields are the arguments and flags, and its Run method calls the
// function fields of Command, which tests replace. Results are plain structs that are printed as text
// or as JSON.
package rockcommand
