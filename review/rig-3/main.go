// Rig3 runs the scripts of the review: the project's own programs as processes, with stand-ins for the store, the runners and the
// callers.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// root is the repository's root.
var root string

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "rig3: CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	root = os.Args[2]
	cases := map[string]func(recordFile string, trouble bool) (int, error){"quota": quotaCase, "deadly": deadlyCase, "copy": copyCase}
	fn := cases[os.Args[1]]
	if fn == nil {
		fmt.Fprintln(os.Stderr, "rig3: no such case")
		os.Exit(exitNotRun)
	}
	code, err := fn(os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		code = exitNotRun
	}
	os.Exit(code)
}
