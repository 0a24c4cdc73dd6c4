package main

import (
	_ "embed"
	"encoding/json"
)

// wordsFile has the platform's names, as its pages spell them.
//
//go:embed words.json
var wordsFile []byte

// words maps short names to the platform's.
var words = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(wordsFile, &m); err != nil {
		panic(err)
	}
	return m
}()
