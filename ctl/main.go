// Command ctl is the operators' command line.
package main

import (
	"os"

	"github.com/bambooladder/bambooladder/ctl/internal/launch"
)

func main() {
	os.Exit(launch.Main(os.Args[1:], os.Stdout, os.Stderr))
}
