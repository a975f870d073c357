// Command sassafrasrock-entry is the daemon for entry hosts of the users' platform. It uses the
// platform's store, backend server entries and engine protocol.
package main

import (
	"os"

	"sassafrasrock/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr)) }
