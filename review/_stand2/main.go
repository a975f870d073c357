// Command _stand2 holds the stand-ins of the cases 6 to 10 and plays them. Its argument is the number of a case.
package main

import (
	"fmt"
	"os"
)

// cases are the scripts by number. Each returns whether the rule held, or an error if it could not run.
var cases = map[string]func(trouble bool) (held bool, err error){}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE")
		os.Exit(2)
	}
	held, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}
