// Command sassafrasrockd is the entry host daemon. It routes model requests and
// service calls to backend servers.
package main

import (
	"os"

	"sassafrasrock/io/rockdaemon"
)

func main() { os.Exit(rockdaemon.Main(os.Args[1:], os.Stderr)) }
