package relayer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/storer"
)

// An entry that can't be read is no sign that the store is not reached.
func TestEntriesThatCantBeReadAreCounted(t *testing.T) {
	c := qt.New(t)
	counts := map[string]int{}
	r := New(Config{
		Store: &storer.Store{ListPage: func(context.Context, string, string) (storer.Page, error) {
			return storer.Page{Items: []storer.Item{{Key: "a", Version: 1}, {Key: "b"}}, Version: 1}, nil
		}},
		Now: time.Now, Log: zap.NewNop(), Count: func(name string) { counts[name]++ },
	})
	page, err := r.Store().List(context.Background(), "")
	c.Assert(err, qt.IsNil)
	c.Check(page.Items, qt.HasLen, 2)
	c.Check(counts["unreadable"], qt.Equals, 1)
	_, ok := r.Reachable()
	c.Check(ok, qt.IsTrue)
}
