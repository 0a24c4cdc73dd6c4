package elector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

// An entry whose live key has expired may be alive, and claim with the list as it is.
func TestAnOwnerAsksAProcessUntilTheListIsWrittenWithoutIt(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		owner := cl.nodes[cl.owner()]
		cl.store.SetFault(func(call string) faker.StoreFault { return faker.StoreFault{Refuse: call == "commit"} })
		cl.kill(cl.other(cl.owner()))
		advancer.Sleep(3 * time.Second)
		c.Check(owner.Members(), qt.HasLen, 0)
		c.Check(owner.ConfirmationExtended(), qt.IsFalse)
		cl.store.SetFault(nil)
		advancer.Sleep(time.Second)
		c.Check(owner.ConfirmationExtended(), qt.IsTrue)
	})
}

// The list with an entry that left at once got no reply. The owner asked the entry ever after, and
// would have stopped all work in an outage.
func TestAnOwnerStopsAskingAProcessThatLeftBeforeItsListWasWritten(t *testing.T) {
	withCluster(t, 2, func(c *qt.C, cl *cluster) {
		owner := cl.owner()
		other := cl.other(owner)
		cl.start("brief", "1")
		for len(cl.nodes[owner].Members()) < 2 {
			advancer.Sleep(time.Millisecond)
		}
		cl.store.SetFault(func(call string) faker.StoreFault {
			return faker.StoreFault{LoseReply: call == "commit", ApplyDelay: time.Hour}
		})
		advancer.Sleep(2 * checkInterval)
		cl.nodes["brief"].Deregister(t.Context())
		cl.kill("brief")
		advancer.Sleep(2 * checkInterval)
		cl.store.SetFault(nil)
		advancer.Sleep(2 * time.Second)
		cl.ping(other, owner, true)
		c.Check(cl.nodes[owner].ConfirmationExtended(), qt.IsTrue)
	})
}

// An entry was frozen while the owner stopped asking it.
func TestAClaimReliesOnTheListOfExtendersOnlyAsItIs(t *testing.T) {
	withCluster(t, 3, func(c *qt.C, cl *cluster) {
		owner := cl.owner()
		n := cl.nodes[cl.other(owner)]
		record, version := n.Owner()
		next, checks := n.nextRecord(reasonOwnerLost, record, version)
		c.Assert(next.EarlierOwnersTTL(), qt.Equals, UnextendedTTL)
		for id := range cl.nodes {
			if id != owner && cl.nodes[id] != n {
				cl.kill(id)
			}
		}
		advancer.Sleep(3 * time.Second)
		_, err := n.writeRecord(t.Context(), next, checks, testClaimKey)
		c.Check(err, qt.ErrorIs, storer.ErrConflict)
	})
}

// A claim that checks no list took effect late. By then the owner asked this entry no more, so that
// it may have renewed the lease of any agent until just before.
func TestALateClaimWithoutACheckOfTheListSaysNothingOfTheRoster(t *testing.T) {
	for name, refused := range map[string]bool{"late": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cl := &cluster{c: c, store: faker.NewStore()}
			n := cl.elector("next", "1")
			asked := extenders{Term: 1, Entries: []extender{{"next", "1"}}}
			record := OwnerRecord{Owner: Member{ID: "old", PeerAddr: n.cfg.Self.PeerAddr}, Term: 1, Roster: true}
			item := func(key string, version uint64, value any) storer.Item {
				raw, err := cbor.Marshal(value)
				c.Assert(err, qt.IsNil)
				return storer.Item{Key: key, Version: version, Value: raw}
			}
			n.apply([]storer.Item{item(OwnerKey, 5, record), item(extendersKey, 5, extenders{Term: 1})})
			_, unchecked := n.nextRecord(reasonOwnerLost, record, 5)
			c.Assert(unchecked, qt.HasLen, 1)
			n.apply([]storer.Item{item(extendersKey, 6, asked)})
			if refused {
				n.endClaimAttempt(storer.ErrUnavailable)
			}
			next, checks := n.nextRecord(reasonOwnerLost, record, 5)
			c.Assert(checks, qt.HasLen, 2)
			n.apply([]storer.Item{item(OwnerKey, 8, next), item(extendersKey, 8, extenders{Term: 2})})
			c.Check(n.IsOwner(), qt.IsTrue)
			c.Check(n.UnrosteredUntil().IsZero(), qt.Equals, !refused)
		})
	}
}

// The store answers late, so that each confirmation is old by the time it is known. The owner listed
// no entry that came meanwhile.
func TestTheListOfExtendersIsWrittenWhileTheStoreIsSlow(t *testing.T) {
	for _, delay := range []time.Duration{5, 100, 300, 500, 700, 850} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			withCluster(t, 2, func(c *qt.C, cl *cluster) {
				owner := cl.owner()
				cl.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Delay: delay} })
				advancer.Sleep(5 * time.Second)
				cl.start("late", "1")
				for range 50 {
					advancer.Sleep(200 * time.Millisecond)
					cl.ping("late", owner, false)
				}
				c.Assert(cl.nodes[owner].IsOwner(), qt.IsTrue)
				cl.nodes["late"].mu.Lock()
				c.Check(cl.nodes["late"].countedLocked(), qt.IsTrue)
				cl.nodes["late"].mu.Unlock()
				cl.store.SetFault(nil)
				advancer.Sleep(time.Second)
			})
		})
	}
}

// All live keys expired in an outage. Once the store answered, the owner wrote a list without the
// entries that had yet to write theirs, and was lost then.
func TestAnOwnerAsksAPingingProcessThatHasYetToWriteItsLiveKey(t *testing.T) {
	for delay := 100 * time.Millisecond; delay <= 2*time.Second; delay += 100 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			withCluster(t, 2, func(c *qt.C, cl *cluster) {
				owner := cl.owner()
				other := cl.other(owner)
				pingFor := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); advancer.Sleep(100 * time.Millisecond) {
						cl.ping(other, owner, false)
						cl.lastReply.Store(time.Now().UnixNano())
					}
				}
				cl.store.SetFault(func(string) faker.StoreFault { return faker.StoreFault{Delay: 300 * time.Millisecond, Refuse: true} })
				pingFor(3 * time.Second)
				cl.store.SetFault(nil)
				pingFor(delay)
				cl.kill(owner)
				advancer.Sleep(5 * time.Second)
				c.Assert(cl.owner(), qt.Equals, other)
				record, _ := cl.nodes[other].Owner()
				c.Check(record.EarlierOwnersTTL(), qt.Equals, UnextendedTTL)
			})
		})
	}
}

// A list that another writer has deleted or overwritten is written again.
func TestAnOddListOfExtendersIsReplaced(t *testing.T) {
	for name, spoil := range map[string]func(cl *cluster){
		"deleted": func(cl *cluster) { cl.store.DeleteKey(extendersKey) },
		"unreadable": func(cl *cluster) {
			_, err := cl.store.Client().Commit(cl.c.Context(), storer.Transaction{Writes: []storer.Write{{Key: extendersKey, Value: []byte("\xff")}}})
			cl.c.Assert(err, qt.IsNil)
		},
		"of a later term": func(cl *cluster) {
			_, err := cl.store.Client().Commit(cl.c.Context(), storer.Transaction{Writes: []storer.Write{{Key: extendersKey, Value: extenders{Term: 1 << 40}.encode()}}})
			cl.c.Assert(err, qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(c *qt.C, cl *cluster) {
				owner := cl.owner()
				id := cl.other(owner)
				spoil(cl)
				advancer.Sleep(time.Second)
				cl.kill(owner)
				advancer.Sleep(4 * time.Second)
				c.Assert(cl.owner(), qt.Equals, id)
				record, _ := cl.nodes[id].Owner()
				c.Check(record.EarlierOwnersTTL(), qt.Equals, UnextendedTTL)
			})
		})
	}
}
