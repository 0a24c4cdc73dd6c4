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

func newDoc(version uint64, team string) messenger.Doc {
	return messenger.Doc{Team: team, Version: version, Source: []byte("team: " + team + "\n")}
}

// Documents arrive late, twice and out of order from several peers. The current
// version must never decrease.
func TestVersionsOnlyIncrease(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		cataloger := New()
		var notified []uint64
		cataloger.OnChange(func(doc *VersionedDocument) { notified = append(notified, doc.Version) })
		highest := uint64(0)
		for range 20 {
			v := uint64(1 + rng.IntN(10))
			changed, err := cataloger.Put(newDoc(v, "a"))
			c.Assert(err, qt.IsNil)
			c.Assert(changed, qt.Equals, v > highest)
			highest = max(highest, v)
			c.Assert(cataloger.Get("a").Version, qt.Equals, highest)
		}
		for i := 1; i < len(notified); i++ {
			c.Assert(notified[i] > notified[i-1], qt.IsTrue)
		}
	}
}

// A document that only a newer release can parse must not replace the current one.
func TestInvalidDocumentIsIgnored(t *testing.T) {
	c := qt.New(t)
	cataloger := New()
	_, _ = cataloger.Put(newDoc(1, "a"))
	_, err := cataloger.Put(messenger.Doc{Team: "a", Version: 2, Source: []byte("team: a\nnewer: field\n")})
	c.Assert(err, qt.IsNotNil)
	c.Assert(cataloger.Get("a").Version, qt.Equals, uint64(1))
}

// BenchmarkDocuments measures the memory per document, and the size and encoding
// time of the frames, for teams that each have a copy of companhia.yaml.
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
			cataloger := New()
			for n := range teams {
				team := fmt.Sprintf("team-%d", n)
				text := strings.Replace(string(src), "team: companhia", "team: "+team, 1)
				if _, err := cataloger.Put(messenger.Doc{Team: team, Version: 1, Source: []byte(text)}); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			size := 0
			for b.Loop() {
				size = 0
				for _, f := range cataloger.Frames() {
					raw, err := messenger.Encode(f)
					if err != nil {
						b.Fatal(err)
					}
					size += len(raw)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(teams), "B-held/doc")
			b.ReportMetric(float64(size)/float64(teams), "B-sent/doc")
			runtime.KeepAlive(cataloger)
		})
	}
}
