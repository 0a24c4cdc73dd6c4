package main

import (
	_ "embed"
	"strings"
)

// wireText has the platform's names that the rig speaks, one a line, so that they stand in one place.
//
//go:embed wire.txt
var wireText string

// wire maps the rig's words to the platform's names.
var wire = func() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wireText) {
		if word, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[word] = name
		}
	}
	return names
}()
