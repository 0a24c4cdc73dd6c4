//go:build race

package e2e

// buildFlags builds the binary as the test was built.
var buildFlags = []string{"-race"}
