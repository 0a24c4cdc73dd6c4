package storer

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAChangeThatTookEffectBeforeIsASuccess(t *testing.T) {
	write := Transaction{Checks: []Check{{Key: "o", Version: 3}, {Key: "a"}}, Writes: []Write{{Key: "a", Value: []byte("1")}}}
	remove := Transaction{Checks: []Check{{Key: "a", Version: 4}}, Deletes: []string{"a"}}
	unchecked := Transaction{Checks: []Check{{Key: "o", Version: 3}}, Deletes: []string{"a"}}
	owner := Item{Key: "o", Version: 3}
	for name, one := range map[string]struct {
		change Transaction
		there  []Item
		at     uint64 // 0: it did not take effect
	}{
		"it wrote":                {write, []Item{owner, {Key: "a", Value: []byte("1"), Version: 9}}, 9},
		"another wrote":           {write, []Item{owner, {Key: "a", Value: []byte("2"), Version: 9}}, 0},
		"nobody wrote":            {write, []Item{{Key: "o", Version: 4}}, 0},
		"it removed":              {remove, nil, 1},
		"another wrote again":     {remove, []Item{{Key: "a", Version: 8}}, 0},
		"removed without a check": {unchecked, []Item{{Key: "o", Version: 4}}, 0},
		"nothing but a condition": {Transaction{Checks: []Check{{Key: "o", Version: 2}}}, []Item{owner}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := Store{Commit: func(context.Context, Transaction) (uint64, error) { return 0, &ConflictError{Items: one.there} }}
			at, err := s.CommitIdempotent(context.Background(), one.change)
			if one.at == 0 {
				c.Assert(err, qt.ErrorIs, ErrConflict)
				return
			}
			c.Assert(err, qt.IsNil)
			if len(one.change.Writes) > 0 {
				c.Assert(at, qt.Equals, one.at)
			}
		})
	}
}
