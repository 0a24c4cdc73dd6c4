//go:build !race

package e2e

// buildFlags build the binary without the race detector, as the test.
var buildFlags []string
