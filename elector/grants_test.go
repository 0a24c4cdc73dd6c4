package elector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/endivefall/endivefall/advancer"
)

// An owner of an earlier version starts tasks without grants and writes nothing, so that the
// grants before it say nothing any more.
func TestGrantsHoldSinceTheLastOwnerThatKeptNone(t *testing.T) {
	for name, tt := range map[string]struct {
		before OwnerRecord
		want   uint64
	}{
		"earlier version":    {OwnerRecord{Term: 4}, 5},
		"this version":       {OwnerRecord{Term: 4, RulesSince: 4}, 4},
		"since some time":    {OwnerRecord{Term: 9, RulesSince: 4}, 4},
		"released":           {OwnerRecord{Term: 4, RulesSince: 3, Released: true}, 3},
		"record is not read": {OwnerRecord{Term: 8}, 9},
		"of a later term":    {OwnerRecord{Term: 4, RulesSince: 6}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := New(Config{Self: otherMember, Now: time.Now})
			next, _ := e.nextRecord(reasonOwnerLost, tt.before, 9)
			c.Check(next.RulesSince, qt.Equals, tt.want)
		})
	}
}

// An owner of an earlier version may have claimed a key that was deleted, before it was deleted
// again.
func TestGrantsBeforeADeletedOwnerKeyDoNotHold(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		cl.store.DeleteKey(OwnerKey)
		advancer.Sleep(5 * time.Second)
		record, _ := cl.nodes[cl.owner()].Owner()
		c.Check(record.RulesSince, qt.Equals, record.Term)
		cl.kill(cl.owner())
		advancer.Sleep(5 * time.Second)
		next, _ := cl.nodes[cl.owner()].Owner()
		c.Check(next.Term > record.Term, qt.IsTrue)
		c.Check(next.RulesSince, qt.Equals, record.Term)
	})
}

// An entry of an earlier version reads the record and writes it without the field.
func TestAnEarlierVersionDropsRulesSince(t *testing.T) {
	c := qt.New(t)
	raw, err := cbor.Marshal(OwnerRecord{Owner: otherMember, Term: 4, Roster: true, RulesSince: 4})
	c.Assert(err, qt.IsNil)
	type earlierRecord struct {
		Owner  Member `cbor:"1,keyasint"`
		Term   uint64 `cbor:"2,keyasint"`
		Roster bool   `cbor:"6,keyasint,omitempty"`
	}
	var earlier earlierRecord
	c.Assert(cbor.Unmarshal(raw, &earlier), qt.IsNil)
	raw, err = cbor.Marshal(earlier)
	c.Assert(err, qt.IsNil)
	record, err := decodeOwnerRecord(raw, 9)
	c.Assert(err, qt.IsNil)
	next, _ := New(Config{Self: otherMember, Now: time.Now}).nextRecord(reasonOwnerLost, record, 9)
	c.Check(next.RulesSince, qt.Equals, uint64(5))
}
