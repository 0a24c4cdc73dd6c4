package elector

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

var anyPeer = netip.MustParseAddrPort("10.0.0.9:9")

// oddMembers returns values as another writer may leave them under the live key of an entry.
func oddMembers(c *qt.C, id string) map[string][]byte {
	records := map[string][]byte{"empty": nil, "nested": []byte(strings.Repeat("\x81", 10000)), "nested in a field": []byte("\xa1\x01" + strings.Repeat("\x81", 40) + "\x00"), "not CBOR": {0xff}}
	for name, v := range map[string]any{
		"number": 7, "text": "text", "no fields": map[int]any{}, "another type": map[int]any{1: 7, 2: "1"},
		"number too large":    map[int]any{1: id, 2: "1", 4: uint64(math.MaxUint64)},
		"address of text":     map[int]any{1: id, 2: "1", 3: "10.0.0.1:99999"},
		"no address":          Member{ID: id, Incarnation: "1"},
		"port 0":              Member{ID: id, Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.1:0")},
		"unspecified address": Member{ID: id, Incarnation: "1", PeerAddr: netip.MustParseAddrPort("0.0.0.0:9")},
		"unspecified IPv6":    Member{ID: id, Incarnation: "1", PeerAddr: netip.MustParseAddrPort("[::]:9")},
		"multicast address":   Member{ID: id, Incarnation: "1", PeerAddr: netip.MustParseAddrPort("224.0.0.1:9")},
		"another entry":       Member{ID: "other", Incarnation: "1", PeerAddr: anyPeer},
		"capacity":            Member{ID: id, Incarnation: "1", PeerAddr: anyPeer, CPUCapacity: math.MaxInt64},
		"capacity below 0":    Member{ID: id, Incarnation: "1", PeerAddr: anyPeer, CPUCapacity: -1},
	} {
		raw, err := cbor.Marshal(v)
		c.Assert(err, qt.IsNil)
		records[name] = raw
	}
	return records
}

// write replaces a key as another writer does.
func (cl *cluster) write(key string, value []byte) {
	_, err := cl.store.Client().Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: value}}})
	cl.c.Assert(err, qt.IsNil)
}

// The value before stayed in force, or an address at which nothing can listen was dialled.
func TestALiveKeyThatCantBeReadIsNoMember(t *testing.T) {
	for name, odd := range oddMembers(qt.New(t), "entry-9") {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(c *qt.C, cl *cluster) {
				good, err := cbor.Marshal(Member{ID: "entry-9", Incarnation: "1", PeerAddr: anyPeer})
				c.Assert(err, qt.IsNil)
				cl.write(entryPrefix+"entry-9", good)
				advancer.Sleep(time.Second)
				c.Assert(cl.nodes["entry-0"].Members(), qt.HasLen, 2)
				cl.write(entryPrefix+"entry-9", odd)
				cl.write(livePrefix+"odd", odd)
				advancer.Sleep(time.Second)
				c.Check(cl.nodes["entry-0"].Members(), qt.HasLen, 1)
				c.Check(cl.nodes["entry-0"].Peers(), qt.HasLen, 1)
				cl.write(entryPrefix+"entry-9", good)
				advancer.Sleep(time.Second)
				c.Check(cl.nodes["entry-0"].Members(), qt.HasLen, 2, qt.Commentf("the list is still followed"))
			})
		})
	}
}

// An entry without a live key of its own claims nothing, and it never wrote the key again.
func TestAnEntryWritesItsLiveKeyAgain(t *testing.T) {
	for name, odd := range oddMembers(qt.New(t), "entry-0") {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(c *qt.C, cl *cluster) {
				owner := cl.owner()
				cl.write(entryPrefix+"entry-0", odd)
				advancer.Sleep(3 * time.Second)
				c.Check(slices.Equal(cl.nodes["entry-1"].Members(), []Member{cl.nodes["entry-0"].cfg.Self}), qt.IsTrue)
				record, _ := cl.nodes[cl.owner()].Owner()
				c.Check(record.Term <= 2, qt.IsTrue, qt.Commentf("%s owned, then %+v", owner, record))
			})
		})
	}
}

// The odd live key vouched for an owner that was lost: no entry claimed ever after.
func TestALiveKeyThatCantBeReadVouchesForNoOwner(t *testing.T) {
	for name := range oddMembers(qt.New(t), "") {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(c *qt.C, cl *cluster) {
				owner := cl.owner()
				cl.kill(owner)
				cl.write(entryPrefix+owner, oddMembers(c, owner)[name])
				advancer.Sleep(10 * time.Second)
				c.Check(cl.owner(), qt.Not(qt.Equals), "")
			})
		})
	}
}

// Each claim checked a version that was never read, so that the pools had no owner any more.
func TestAnOwnerKeyThatCantBeReadIsClaimed(t *testing.T) {
	records := oddMembers(qt.New(t), "entry-0")
	for name, r := range map[string]OwnerRecord{
		"term too large": {Owner: Member{ID: "entry-0", Incarnation: "1", PeerAddr: anyPeer}, Term: math.MaxUint64},
		"no term":        {Owner: Member{ID: "entry-0", Incarnation: "1", PeerAddr: anyPeer}},
		"no owner":       {Term: 1},
		"owner's port 0": {Owner: Member{ID: "entry-0", Incarnation: "1", PeerAddr: netip.MustParseAddrPort("10.0.0.1:0")}, Term: 1},
	} {
		raw, err := cbor.Marshal(r)
		qt.Assert(t, err, qt.IsNil)
		records[name] = raw
	}
	for name, odd := range records {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(c *qt.C, cl *cluster) {
				before, _ := cl.nodes[cl.owner()].Owner()
				cl.write(OwnerKey, odd)
				_, _, err := FindOwner(context.Background(), cl.store.Client())
				c.Check(err, qt.ErrorIs, errInvalid)
				cl.kill("entry-0") // another process has read none of the earlier records
				cl.start("entry-0", "2")
				advancer.Sleep(5 * time.Second)
				c.Assert(cl.owner(), qt.Not(qt.Equals), "")
				record, _ := cl.nodes[cl.owner()].Owner()
				c.Check(record.Term > before.Term, qt.IsTrue, qt.Commentf("term %d after %d", record.Term, before.Term))
				c.Check(record.EarlierOwnersTTL(), qt.Equals, ConfirmationTTL, qt.Commentf("the owner before may not have heard of it"))
				_, term, err := FindOwner(context.Background(), cl.store.Client())
				c.Check(err, qt.IsNil)
				c.Check(term, qt.Equals, record.Term)
			})
		})
	}
}

// FuzzMembership checks that no record of the membership ends an entry or names an address at
// which nothing listens.
func FuzzMembership(f *testing.F) {
	for _, raw := range oddMembers(qt.New(f), "entry-0") {
		f.Add(raw, uint64(3))
	}
	for _, v := range []any{Member{ID: "entry-0", Incarnation: "1", PeerAddr: anyPeer}, OwnerRecord{Owner: Member{ID: "entry-0", PeerAddr: anyPeer}, Term: 3}, OwnerRecord{Term: math.MaxUint64}} {
		raw, err := cbor.Marshal(v)
		qt.Assert(f, err, qt.IsNil)
		f.Add(raw, uint64(3))
		f.Add(raw[:len(raw)/2], uint64(3))
	}
	f.Fuzz(func(t *testing.T, raw []byte, version uint64) {
		e := New(Config{Self: Member{ID: "self"}, Store: faker.NewStore().Client(), Now: time.Now, Log: zap.NewNop(), OnChange: func(OwnerRecord, []Member) {}, OwnerLastReply: func() time.Time { return time.Time{} }})
		e.apply([]storer.Item{{Key: entryPrefix + "entry-0", Value: raw, Version: version}, {Key: OwnerKey, Value: raw, Version: version}, {Key: livePrefix, Value: raw}})
		e.claimReason()
		record, _ := e.Owner()
		qt.Assert(t, record.Term <= version, qt.IsTrue)
		for _, m := range append(e.Members(), record.Owner) {
			qt.Assert(t, m.ID == "" || m.PeerAddr.Port() != 0 && !m.PeerAddr.Addr().IsUnspecified(), qt.IsTrue, qt.Commentf("%+v", m))
		}
	})
}
