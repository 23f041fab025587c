// Command stand runs small stand-ins for the platform, an engine or a plain service.
package main

import (
	"os"

	"github.com/bambooladder/bambooladder/stand/internal/launch"
)

func main() {
	os.Exit(launch.Main(os.Args[1:], os.Stdout, os.Stderr))
}
