// Command sassafrasrock is the operators' command line.
package main

import (
	"os"

	"sassafrasrock/io/rockcommand"
)

func main() {
	os.Exit(rockcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
