package claimer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
)

func TestClaims(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	fresh := func() *Claimer {
		now = start
		return New(time.Minute, func() time.Time { return now })
	}
	ask := func(key, nonce string) messenger.Claim {
		return messenger.Claim{Key: key, Nonce: nonce, NotBefore: start.Add(time.Hour)}
	}
	c := qt.New(t)
	c.Run("a key is granted to one execution", func(c *qt.C) {
		k := fresh()
		c.Assert(k.Claim(ask("a", "1")).Granted, qt.IsTrue)
		second := k.Claim(ask("a", "2"))
		c.Assert(second.Granted, qt.IsFalse)
		c.Assert(second.Existing.State, qt.Equals, "")
		c.Assert(k.Claim(ask("a", "1")).Granted, qt.IsTrue, qt.Commentf("the same one asks again"))
	})
	c.Run("a later one learns how the first ended", func(c *qt.C) {
		k := fresh()
		k.Claim(ask("a", "1"))
		k.Record(messenger.Claim{Key: "a", Nonce: "1", State: Done, Status: 201, Body: []byte("slot 7")})
		got := k.Claim(ask("a", "2"))
		c.Assert(got.Existing.Status, qt.Equals, 201)
		c.Assert(string(got.Existing.Body), qt.Equals, "slot 7")
		c.Assert(k.Claim(ask("a", "1")).Granted, qt.IsFalse, qt.Commentf("nor may the first run again"))
	})
	c.Run("one that did not run frees the key", func(c *qt.C) {
		k := fresh()
		k.Claim(ask("a", "1"))
		k.Record(messenger.Claim{Key: "a", Nonce: "2", State: NotRun})
		c.Assert(k.Claim(ask("a", "2")).Granted, qt.IsFalse, qt.Commentf("but only its own claim"))
		k.Record(messenger.Claim{Key: "a", Nonce: "1", State: NotRun})
		c.Assert(k.Claim(ask("a", "2")).Granted, qt.IsTrue)
	})
	c.Run("a young agent says that it cannot rule out an earlier claim", func(c *qt.C) {
		k := fresh()
		old := ask("a", "1")
		old.NotBefore = start.Add(-time.Hour)
		c.Assert(k.Claim(old).Indeterminate, qt.IsTrue)
		c.Assert(k.Claim(ask("b", "1")).Indeterminate, qt.IsFalse, qt.Commentf("the service is younger than the agent"))
		now = now.Add(time.Minute)
		old.Key = "c"
		c.Assert(k.Claim(old).Indeterminate, qt.IsFalse, qt.Commentf("a claim of before would have expired"))
	})
	c.Run("a claim expires", func(c *qt.C) {
		k := fresh()
		k.Claim(ask("a", "1"))
		now = now.Add(time.Minute)
		c.Assert(k.Claim(ask("a", "2")).Granted, qt.IsTrue)
	})
	c.Run("a full table grants nothing and says so", func(c *qt.C) {
		k := fresh()
		for n := range MaxClaims {
			k.Claim(ask(time.Duration(n).String(), "1"))
		}
		got := k.Claim(ask("one more", "1"))
		c.Assert(got.Granted, qt.IsFalse)
		c.Assert(got.Existing, qt.IsNil)
	})
}
