package chronicler

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

// timeline is a Chronicler whose clock the test moves.
type timeline struct {
	*Chronicler
	c   *qt.C
	now time.Time
}

func newTimeline(c *qt.C) *timeline {
	l := &timeline{c: c, now: time.Unix(1000, 0)}
	l.Chronicler = New(func() time.Time { return l.now })
	return l
}

// assertKnown asserts that a version counts as known since some time after the start.
func (l *timeline) assertKnown(version uint64, after time.Duration) {
	l.c.Helper()
	at, ok := l.KnownSince(version)
	l.c.Assert(ok, qt.IsTrue)
	l.c.Assert(at.Sub(time.Unix(1000, 0)), qt.Equals, after)
}

func TestAVersionIsKnownSinceItOrALaterOneWasSeen(t *testing.T) {
	l := newTimeline(qt.New(t))
	_, ok := l.KnownSince(1)
	l.c.Assert(ok, qt.IsFalse)
	l.Observe(10)
	l.now = l.now.Add(time.Second)
	l.Observe(20)
	l.now = l.now.Add(time.Second)
	l.Observe(15)
	l.assertKnown(10, resolution)
	l.assertKnown(11, time.Second+resolution)
	l.assertKnown(20, time.Second+resolution)
	_, ok = l.KnownSince(21)
	l.c.Assert(ok, qt.IsFalse)
	_, ok = l.KnownSince(0)
	l.c.Assert(ok, qt.IsFalse, qt.Commentf("an item that can't be read"))
	l.c.Assert(l.Newest(), qt.Equals, uint64(20))
}

func TestVersionsThatFollowSoonShareAMark(t *testing.T) {
	l := newTimeline(qt.New(t))
	for version := range uint64(50) {
		l.Observe(version + 1)
		l.now = l.now.Add(time.Millisecond)
	}
	l.c.Assert(l.marks, qt.HasLen, 1)
	l.assertKnown(1, resolution)
	l.assertKnown(50, resolution)
}

func TestOldVersionsCountAsKnownSinceTheOldestMark(t *testing.T) {
	l := newTimeline(qt.New(t))
	for version := range uint64(maxMarks + 7) {
		l.Observe(version + 1)
		l.now = l.now.Add(resolution)
	}
	l.c.Assert(l.marks, qt.HasLen, maxMarks)
	l.assertKnown(1, 8*resolution)
}

// Whatever is observed when, no version counts as known before the store had reached it, or more
// than the resolution later than it was seen while all marks are kept.
func TestNoVersionIsKnownBeforeItWasSeen(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTimeline(qt.New(t))
		seen := map[uint64]time.Time{}
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 250), 1, 200).Draw(rt, "gaps") {
			l.now = l.now.Add(time.Duration(gap) * time.Millisecond)
			version := rapid.Uint64Range(1, 100).Draw(rt, "version")
			l.Observe(version)
			for v := version; v > 0 && seen[v].IsZero(); v-- {
				seen[v] = l.now
			}
		}
		for version, at := range seen {
			known, ok := l.KnownSince(version)
			if late := known.Sub(at); !ok || late < 0 || late > resolution {
				rt.Fatalf("version %d was seen at %v and counts as known since %v (%v)", version, at, known, ok)
			}
		}
	})
}

func TestRepliesOfTheStoreAreRecorded(t *testing.T) {
	ctx := context.Background()
	write := storer.Transaction{Writes: []storer.Write{{Key: "k", Value: []byte("v")}}}
	for name, call := range map[string]func(s *storer.Store) error{
		"list":  func(s *storer.Store) error { _, err := s.List(ctx, "x"); return err },
		"watch": func(s *storer.Store) error { _, err := s.Watch(ctx, "x", 1, time.Now()); return err },
		"write": func(s *storer.Store) error { _, err := s.Commit(ctx, write); return err },
	} {
		t.Run(name, func(t *testing.T) {
			l := newTimeline(qt.New(t))
			fake := faker.NewStore()
			version, err := fake.Client().Commit(ctx, write)
			l.c.Assert(err, qt.IsNil)
			fake.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Refuse: true} })
			l.c.Assert(call(l.Store(fake.Client())), qt.IsNotNil)
			l.c.Assert(l.Newest(), qt.Equals, uint64(0))
			fake.SetFault(nil)
			l.c.Assert(call(l.Store(fake.Client())), qt.IsNil)
			l.c.Assert(l.Newest() >= version, qt.IsTrue)
		})
	}
}
