package announcer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

func entryOf(id string) Entry {
	return Entry{ID: id, Incarnation: "1", HTTP: netip.MustParseAddrPort("10.0.0.1:80"), Peer: netip.MustParseAddrPort("10.0.0.1:81"), Domain: "d"}
}

// oddEntries returns values as another writer may leave them under the key of an entry.
func oddEntries(id string) []string {
	const format = `{"id":"%s","born":"1","http":"10.0.0.1:80","peer":%s,"domain":"d"}`
	entries := []string{"", "\xff", "7", `"text"`, "[]", "{}", "null", strings.Repeat("[", 20000), strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000), fmt.Sprintf(format, "other", `"10.0.0.1:81"`)}
	for _, peer := range []string{`"10.0.0.1:99999"`, `"10.0.0.1:0"`, `"10.0.0.1:-1"`, `"10.0.0.1"`, `"0.0.0.0:81"`, `"[::]:81"`, `"224.0.0.1:81"`, `""`, `7`, `1e999`, `18446744073709551616`, strings.Repeat("[", 20000) + strings.Repeat("]", 20000)} {
		entries = append(entries, fmt.Sprintf(format, id, peer))
	}
	return entries
}

// newTestAnnouncer returns an Announcer of the entry "self" on a platform in memory.
func newTestAnnouncer(platform http.Handler, counted *int) *Announcer {
	store := storer.New(storer.Config{Addr: netip.MustParseAddrPort("10.0.0.2:80"), CallsPerSecond: 100, Do: func(r *http.Request) (*http.Response, error) {
		if r.Body == nil {
			r.Body = http.NoBody
		}
		w := httptest.NewRecorder()
		platform.ServeHTTP(w, r)
		return w.Result(), r.Context().Err()
	}})
	return New(Config{Self: entryOf("self"), Store: store, Now: time.Now, Log: zap.NewNop(), Count: func(meter.Counter) { *counted++ }})
}

// The entry before stayed in force, or an address at which nothing can listen was dialled.
func TestARegistrationThatCantBeReadIsNoEntry(t *testing.T) {
	for n, odd := range oddEntries("a") {
		t.Run(fmt.Sprint(n, " ", odd[:min(len(odd), 70)]), func(t *testing.T) {
			c := qt.New(t)
			counted := 0
			a := newTestAnnouncer(faker.NewPlatform(), &counted)
			raw, err := json.Marshal(entryOf("a"))
			c.Assert(err, qt.IsNil)
			last, err := json.Marshal(entryOf("b"))
			c.Assert(err, qt.IsNil)
			a.applySnapshot([]storer.Item{{Key: keyPrefix + "a", Value: raw, Version: 3}})
			c.Assert(a.Entries(), qt.HasLen, 2)
			a.applyChanges([]storer.Item{{Key: "e", Value: raw}, {Key: "", Value: raw}, {Key: keyPrefix, Value: raw}, {Key: keyPrefix + "a", Value: []byte(odd), Version: 4}, {Key: keyPrefix + "b", Value: last, Version: 5}})
			var ids []string
			for _, e := range a.Entries() {
				ids = append(ids, e.ID)
			}
			c.Check(ids, qt.DeepEquals, []string{"b", "self"})
			c.Check(counted, qt.Equals, 2)
		})
	}
}

// The lease was renewed, but the other entries no longer knew the entry.
func TestAnEntryRegistersAgain(t *testing.T) {
	for n, odd := range oddEntries("self") {
		t.Run(fmt.Sprint(n, " ", odd[:min(len(odd), 70)]), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				platform, counted := faker.NewPlatform(), 0
				a := newTestAnnouncer(platform, &counted)
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					a.Serve(ctx)
				}()
				advancer.Sleep(time.Second)
				item, err := a.cfg.Store.Get(ctx, keyPrefix+"self")
				c.Assert(err, qt.IsNil)
				_, err = a.cfg.Store.CompareAndSwap(ctx, keyPrefix+"self", []byte(odd), item.Version, "")
				c.Assert(err, qt.IsNil)
				advancer.Sleep(10 * time.Second)
				item, err = a.cfg.Store.Get(ctx, keyPrefix+"self")
				c.Assert(err, qt.IsNil)
				_, err = decodeEntry("self", item.Value)
				c.Check(err, qt.IsNil)
				cancel()
				<-done
				advancer.Sleep(time.Minute)
			})
		})
	}
}

// FuzzRegistration checks that no registration ends an entry or names an address at which
// nothing listens.
func FuzzRegistration(f *testing.F) {
	for _, odd := range oddEntries("a") {
		f.Add(keyPrefix+"a", odd)
	}
	raw, err := json.Marshal(entryOf("a"))
	qt.Assert(f, err, qt.IsNil)
	f.Add("entry", string(raw))
	f.Add(keyPrefix+"a", string(raw[:len(raw)/2]))
	f.Fuzz(func(t *testing.T, key, value string) {
		counted := 0
		a := newTestAnnouncer(http.NotFoundHandler(), &counted)
		a.applySnapshot([]storer.Item{{Key: key, Value: []byte(value)}})
		for _, e := range a.Entries() {
			qt.Assert(t, keyPrefix+e.ID == key || e.ID == "self", qt.IsTrue)
			qt.Assert(t, e.Peer.Port() != 0 && !e.Peer.Addr().IsUnspecified(), qt.IsTrue)
		}
		a.OwnerOf("k")
	})
}
