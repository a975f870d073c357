// Command sassafrasrock-entry is the daemon that runs on each entry host of the users' platform.
package main

import (
	"os"

	"sassafrasrock/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr)) }
