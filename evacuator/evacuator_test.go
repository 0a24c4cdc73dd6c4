package evacuator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start  = time.Unix(5000, 0)
	policy = Policy{Bound: 5 * time.Second}
)

// TestStartsInADomain guards against starts in an evacuated domain, and against starts that stop
// where nobody asked for it.
func TestStartsInADomain(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name        string
		policy      Policy
		view        View
		confirmedAt time.Time
		want        Refusal
	}{
		{"no evacuation", policy, NewView(start), at(800), Allowed},
		{"the domain is evacuated", policy, NewView(start, "a"), at(800), Evacuated},
		{"another domain is evacuated", policy, NewView(start, "b", "c"), at(800), Allowed},
		{"names are compared exactly", policy, NewView(start, "A", "a ", "a/b"), at(800), Allowed},
		{"nothing has been read", policy, View{}, at(0), Unknown},
		{"the view is as old as is allowed", policy, NewView(start), at(2000), Allowed},
		{"the watch is cut", policy, NewView(start), at(2001), Outdated},
		{"the view is newer than the confirmation", policy, NewView(at(9000)), at(0), Allowed},
		{"no bound, nothing has been read", Policy{}, View{}, at(0), Allowed},
		{"no bound, the watch is cut", Policy{}, NewView(start), at(60000), Allowed},
		{"no bound, the domain is evacuated", Policy{}, NewView(start, "a"), at(0), Evacuated},
		{"an old view still evacuates", policy, NewView(start, "a"), at(60000), Evacuated},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, test.policy.Check(test.view, "a", test.confirmedAt), qt.Equals, test.want)
		})
	}
}

// TestStartDeadline guards against starts that begin later than the bound after a request that was
// acknowledged just after the view was read.
func TestStartDeadline(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		want time.Duration // from now on
	}{
		{"fresh view", 0, 4200 * time.Millisecond},
		{"a watch that has just been answered", 800 * time.Millisecond, 3400 * time.Millisecond},
		{"a slow store", 3 * time.Second, 1200 * time.Millisecond},
		{"an outage of the store", 8 * time.Second, 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := start.Add(test.age)
			qt.Check(t, policy.StartBy(NewView(start), now).Sub(now), qt.Equals, test.want)
		})
	}
	qt.Check(t, Policy{}.StartBy(NewView(start), start).IsZero(), qt.IsTrue, qt.Commentf("no bound, no deadline"))
}

// TestViews guards against views that change under their readers, or lose a domain.
func TestViews(t *testing.T) {
	c := qt.New(t)
	first := NewView(start, "b")
	second := first.With("a", true).At(start.Add(time.Second))
	third := second.With("b", false)
	c.Check(first.Domains(), qt.DeepEquals, []string{"b"})
	c.Check(second.Domains(), qt.DeepEquals, []string{"a", "b"})
	c.Check(third.Domains(), qt.DeepEquals, []string{"a"})
	c.Check(third.With("b", false).Len(), qt.Equals, 1)
	c.Check(third.ReadAt, qt.Equals, start.Add(time.Second))
	c.Check(View{}.With("a", true).Evacuated("a"), qt.IsTrue)
	c.Check([]bool{View{}.Known(), first.Known()}, qt.DeepEquals, []bool{false, true})
}
