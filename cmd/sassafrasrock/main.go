// Command sassafrasrock is the command line for operators. It configures and
// inspects running daemons.
package main

import (
	"os"

	"sassafrasrock/io/rockcommand"
)

func main() {
	os.Exit(rockcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
