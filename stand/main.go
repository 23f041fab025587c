// Command stand runs one simulated outside system, for tests and local runs: the log service, the
// host list, the weight store, a model engine or a plain service.
package main

import (
	"os"

	"github.com/bambooladder/bambooladder/stand/internal/launch"
)

func main() {
	os.Exit(launch.Main(os.Args[1:], os.Stdout, os.Stderr))
}
