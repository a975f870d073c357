// Command sassafrasrock-standin simulates the platform, model engines and an
// application service for tests and demonstrations, and drives the load of a
// demonstration.
package main

import (
	"os"

	"sassafrasrock/io/rockdemo"
)

func main() { os.Exit(rockdemo.Main(os.Args[1:], os.Stdout, os.Stderr)) }
