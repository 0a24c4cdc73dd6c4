package cataloger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
)

func doc(version uint64, team string) messenger.Doc {
	return messenger.Doc{Team: team, Version: version, Source: []byte("team: " + team + "\n")}
}

// TestVersionsOnlyGrow: documents come late, twice and out of order, from many
// sides; what is in force never goes back.
func TestVersionsOnlyGrow(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		k := New()
		var told []uint64
		k.OnChange(func(kept *VersionedDocument) { told = append(told, kept.Version) })
		highest := uint64(0)
		for range 20 {
			v := uint64(1 + rng.IntN(10))
			fresh, err := k.Put(doc(v, "a"))
			c.Assert(err, qt.IsNil)
			c.Assert(fresh, qt.Equals, v > highest)
			highest = max(highest, v)
			c.Assert(k.Get("a").Version, qt.Equals, highest)
		}
		for i := 1; i < len(told); i++ {
			c.Assert(told[i] > told[i-1], qt.IsTrue)
		}
	}
}

// TestUnreadableDocumentChangesNothing: one of a newer release is left alone.
func TestUnreadableDocumentChangesNothing(t *testing.T) {
	c := qt.New(t)
	k := New()
	_, _ = k.Put(doc(1, "a"))
	_, err := k.Put(messenger.Doc{Team: "a", Version: 2, Source: []byte("team: a\nnewer: field\n")})
	c.Assert(err, qt.IsNotNil)
	c.Assert(k.Get("a").Version, qt.Equals, uint64(1))
}

// BenchmarkDocuments is the memory, the frames and the time of the documents of
// some teams, each the Companhia's.
func BenchmarkDocuments(b *testing.B) {
	src, err := os.ReadFile("../examples/companhia.yaml")
	if err != nil {
		b.Fatal(err)
	}
	for _, teams := range []int{10, 320, 3200} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			k := New()
			for n := range teams {
				team := fmt.Sprintf("team-%d", n)
				text := strings.Replace(string(src), "team: companhia", "team: "+team, 1)
				if _, err := k.Put(messenger.Doc{Team: team, Version: 1, Source: []byte(text)}); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			size := 0
			for b.Loop() {
				size = 0
				for _, f := range k.Frames() {
					raw, err := messenger.Encode(f)
					if err != nil {
						b.Fatal(err)
					}
					size += len(raw)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(teams), "B-held/doc")
			b.ReportMetric(float64(size)/float64(teams), "B-sent/doc")
			runtime.KeepAlive(k)
		})
	}
}
