package storer

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCommitIdempotentSucceedsIfAlreadyApplied(t *testing.T) {
	write := Transaction{Checks: []Check{{Key: "o", Version: 3}, {Key: "a"}}, Writes: []Write{{Key: "a", Value: []byte("1")}}}
	remove := Transaction{Checks: []Check{{Key: "a", Version: 4}}, Deletes: []string{"a"}}
	unchecked := Transaction{Checks: []Check{{Key: "o", Version: 3}}, Deletes: []string{"a"}}
	owner := Item{Key: "o", Version: 3}
	for name, tc := range map[string]struct {
		change  Transaction
		current []Item // current state of the checked keys
		version uint64 // 0 if the change did not take effect
	}{
		"write applied":                {write, []Item{owner, {Key: "a", Value: []byte("1"), Version: 9}}, 9},
		"key written by another":       {write, []Item{owner, {Key: "a", Value: []byte("2"), Version: 9}}, 0},
		"nothing written":              {write, []Item{{Key: "o", Version: 4}}, 0},
		"delete applied":               {remove, nil, 1},
		"key written again by another": {remove, []Item{{Key: "a", Version: 8}}, 0},
		"delete without a check":       {unchecked, []Item{{Key: "o", Version: 4}}, 0},
		"check only":                   {Transaction{Checks: []Check{{Key: "o", Version: 2}}}, []Item{owner}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := Store{Commit: func(context.Context, Transaction) (uint64, error) { return 0, &ConflictError{Items: tc.current} }}
			version, err := s.CommitIdempotent(context.Background(), tc.change)
			if tc.version == 0 {
				c.Assert(err, qt.ErrorIs, ErrConflict)
				return
			}
			c.Assert(err, qt.IsNil)
			if len(tc.change.Writes) > 0 {
				c.Assert(version, qt.Equals, tc.version)
			}
		})
	}
}
