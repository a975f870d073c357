// Package rockcommand is the operators' command line.
//
// Each command is a struct whose fields are its arguments and whose Run method
// uses the seams of Command. Results are plain structs that are printed as
// text or as JSON.
package rockcommand
