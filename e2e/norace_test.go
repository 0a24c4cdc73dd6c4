//go:build !race

package e2e

// buildFlags makes go build leave out the race detector, as in the test itself.
var buildFlags []string
