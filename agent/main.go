// Command agent runs the agent beside a backend server.
package main

import (
	"os"

	"github.com/bambooladder/bambooladder/agent/internal/launch"
)

func main() {
	os.Exit(launch.Main(os.Args[1:], os.Stdout, os.Stderr))
}
