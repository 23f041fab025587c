// Command ctl is the command line tool with which operators view and change the settings of a
// deployment.
package main

import (
	"os"

	"github.com/bambooladder/bambooladder/ctl/internal/launch"
)

func main() {
	os.Exit(launch.Main(os.Args[1:], os.Stdout, os.Stderr))
}
