// Command sassafrasrock-measure runs the experiments and prints their table.
package main

import (
	"os"

	"sassafrasrock/io/rockmeasure"
)

func main() { os.Exit(rockmeasure.Main(os.Args[1:], os.Stdout, os.Stderr)) }
