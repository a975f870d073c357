// Command sassafrasrock-standin plays the platform, model engines and an
// application service for tests and demonstrations.
package main

import (
	"os"

	"sassafrasrock/io/rockdemo"
)

func main() { os.Exit(rockdemo.Main(os.Args[1:], os.Stdout, os.Stderr)) }
