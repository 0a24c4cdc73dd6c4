package reserver

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/parser"
)

// TestNeverOvercommitted checks that the sum of all reservations never exceeds the
// capacity, for any order of Reserve, Resize and Release.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := parser.Resources{Processors: 8, Memory: 32, Accelerators: 2}
		r := New(total)
		held := map[string]parser.Resources{}
		resources := rapid.Custom(func(t *rapid.T) parser.Resources {
			return parser.Resources{
				Processors:   rapid.Float64Range(0, 9).Draw(t, "processors"),
				Memory:       decoder.Size(rapid.IntRange(0, 40).Draw(t, "memory")),
				Accelerators: rapid.IntRange(0, 3).Draw(t, "accelerators"),
			}
		})
		name := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name")) }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				n, need := name(t), resources.Draw(t, "need")
				if r.Reserve(n, need) == nil {
					if _, twice := held[n]; twice {
						t.Fatal("reserved twice")
					}
					held[n] = need
				}
			},
			"resize": func(t *rapid.T) {
				n, need := name(t), resources.Draw(t, "need")
				if r.Resize(n, need) == nil {
					held[n] = need
				}
			},
			"release": func(t *rapid.T) {
				n := name(t)
				r.Release(n)
				delete(held, n)
			},
			"": func(t *rapid.T) {
				var sum parser.Resources
				for _, need := range held {
					sum = sum.Add(need)
				}
				if !sum.FitsIn(total) {
					t.Fatalf("%+v is reserved of %+v", sum, total)
				}
				if free := r.Free(); !free.FitsIn(total.Sub(sum)) || !total.Sub(sum).FitsIn(free) {
					t.Fatalf("%+v is free, with %+v reserved", free, sum)
				}
			},
		})
	})
}
