// Command sassafrasrockd is the daemon that runs on each entry host.
package main

import (
	"os"

	"sassafrasrock/io/rockdaemon"
)

func main() { os.Exit(rockdaemon.Main(os.Args[1:], os.Stderr)) }
