// Command sassafrasrock-measure runs the experiments on the decision code in virtual
// time and prints a table of the results.
package main

import (
	"os"

	"sassafrasrock/io/rockmeasure"
)

func main() { os.Exit(rockmeasure.Main(os.Args[1:], os.Stdout, os.Stderr)) }
