// Command endivefall schedules latency-critical requests and batch work onto
// the same instances.
package main

import (
	"os"

	"github.com/endivefall/endivefall/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
