// Command entry runs an entry node.
package main

import (
	"os"

	"github.com/bambooladder/bambooladder/entry/internal/launch"
)

func main() {
	os.Exit(launch.Main(os.Args[1:], os.Stdout, os.Stderr))
}
