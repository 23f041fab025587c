// Command agent runs an agent beside a backend server. It forwards requests to the server and orders
// an engine to load and unload adapters.
package main

import (
	"os"

	"github.com/bambooladder/bambooladder/agent/internal/launch"
)

func main() {
	os.Exit(launch.Main(os.Args[1:], os.Stdout, os.Stderr))
}
