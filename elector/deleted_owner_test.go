package elector

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/storer"
)

// assertClaimed asserts that there is an owner again, which waits for the one before.
func (cl *cluster) assertClaimed(before OwnerRecord) OwnerRecord {
	cl.c.Assert(cl.owner(), qt.Not(qt.Equals), "")
	record, version := cl.nodes[cl.owner()].Owner()
	cl.c.Check(record.Term > before.Term, qt.IsTrue, qt.Commentf("term %d after %d", record.Term, before.Term))
	cl.c.Check(record.Term <= version, qt.IsTrue, qt.Commentf("term %d at version %d", record.Term, version))
	cl.c.Check(record.EarlierOwnersTTL(), qt.Equals, ConfirmationTTL, qt.Commentf("the owner before may not have heard of it"))
	_, term, err := FindOwner(context.Background(), cl.store.Client())
	cl.c.Check(err, qt.IsNil)
	cl.c.Check(term, qt.Equals, record.Term)
	return record
}

// Each claim checked a version that was gone, so that the pools had no owner any more.
func TestADeletedOwnerKeyIsClaimed(t *testing.T) {
	for name, watchFails := range map[string]bool{"watched": false, "listed": true} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 3, func(_ *qt.C, cl *cluster) {
				if watchFails {
					cl.store.SetFault(func(call string) faker.StoreFault { return faker.StoreFault{Refuse: call == "watch"} })
				}
				record, _ := cl.nodes[cl.owner()].Owner()
				for range 3 {
					cl.store.DeleteKey(OwnerKey)
					advancer.Sleep(5 * time.Second)
					record = cl.assertClaimed(record)
				}
				cl.store.SetFault(nil)
			})
		})
	}
}

// A process that knows no earlier owner took the missing key for that of a new deployment: its
// claim was clean and had the first term again.
func TestADeletedOwnerKeyIsClaimedByOthersThatKnowNoOwner(t *testing.T) {
	for name, odd := range map[string][]byte{"": nil, "and an odd record of the claim": []byte("\xff")} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(_ *qt.C, cl *cluster) {
				cl.kill(cl.owner())
				advancer.Sleep(5 * time.Second)
				record, _ := cl.nodes[cl.owner()].Owner()
				for id := range cl.nodes {
					cl.kill(id)
				}
				cl.store.DeleteKey(OwnerKey)
				if odd != nil {
					cl.write(testClaimKey, odd)
				}
				cl.start("entry-8", "1")
				cl.start("entry-9", "1")
				advancer.Sleep(5 * time.Second)
				cl.assertClaimed(record)
			})
		})
	}
}

// The record of a claim may appear between its read and the claim.
func TestACleanClaimChecksThatThereWasNoneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{c: qt.New(t), store: faker.NewStore(), nodes: map[string]*node{}}
		client := cl.store.Client()
		e := New(Config{Self: otherMember, Store: client, ClaimKey: testClaimKey, Now: time.Now, Log: zap.NewNop(), OnChange: func(OwnerRecord, []Member) {}})
		get := client.Get
		client.Get = func(ctx context.Context, key string) (storer.Item, error) {
			item, err := get(ctx, key)
			cl.write(key, []byte("claim"))
			return item, err
		}
		cl.c.Assert(e.claim(context.Background(), reasonNoOwner, 0), qt.ErrorIs, storer.ErrConflict)
		cl.c.Check(e.IsOwner(), qt.IsFalse)
	})
}

// While an owner that is frozen may still act, the next one waits.
func TestAFrozenOwnerWhoseKeyIsDeletedActsBesideNoOther(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		for frozenFor := time.Second; frozenFor <= 16*time.Second; frozenFor += 3 * time.Second {
			t.Run(map[bool]string{false: "known ", true: "fresh "}[fresh]+frozenFor.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := &cluster{c: qt.New(t), store: faker.NewStore(), nodes: map[string]*node{}, frozen: map[string]*gate{"old": {}}}
					cl.start("old", "1")
					advancer.Sleep(2 * time.Second)
					if !fresh {
						cl.start("next", "1")
						advancer.Sleep(2 * time.Second)
					}
					old, g := cl.nodes["old"], cl.frozen["old"]
					cl.c.Assert(old.IsOwner(), qt.IsTrue)
					before, version := old.Owner()
					g.close()
					advancer.Sleep(600 * time.Millisecond)
					cl.store.DeleteKey(OwnerKey)
					if fresh {
						cl.start("next", "1")
					}
					next := cl.nodes["next"]
					for start, frozen := time.Now(), true; time.Since(start) < 30*time.Second; advancer.Sleep(50 * time.Millisecond) {
						if frozen && time.Since(start) >= frozenFor {
							g.reopen()
							frozen = false
						}
						record, _ := old.Owner()
						mayAct := record == before && old.IsOwner() && time.Since(old.OwnershipConfirmedAt()) < ConfirmationTTL
						if nextRecord, _ := next.Owner(); next.IsOwner() && mayAct {
							cl.c.Assert(time.Since(next.ClaimedAt()) < nextRecord.EarlierOwnersTTL(), qt.IsTrue, qt.Commentf("%+v", nextRecord))
						}
					}
					record, _ := cl.nodes[cl.owner()].Owner()
					cl.c.Check(record.Term > before.Term, qt.IsTrue)
					_, err := cl.store.Client().Commit(context.Background(), storer.Transaction{Checks: []storer.Check{{Key: OwnerKey, Version: version}}})
					cl.c.Check(err, qt.ErrorIs, storer.ErrConflict, qt.Commentf("writes of the old owner are fenced"))
					cl.kill("old")
					cl.kill("next")
					advancer.Sleep(time.Minute)
				})
			})
		}
	}
}
