//go:build race

package e2e

// buildFlags build the binary with the race detector, as the test.
var buildFlags = []string{"-race"}
