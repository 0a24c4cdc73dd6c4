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
	newClaimer := func() *Claimer {
		now = start
		return New(time.Minute, func() time.Time { return now })
	}
	newClaim := func(key, nonce string) messenger.Claim {
		return messenger.Claim{Key: key, Nonce: nonce, NotBefore: start.Add(time.Hour)}
	}
	c := qt.New(t)
	c.Run("a key is granted to one execution", func(c *qt.C) {
		claimer := newClaimer()
		c.Assert(claimer.Claim(newClaim("a", "1")).Granted, qt.IsTrue)
		second := claimer.Claim(newClaim("a", "2"))
		c.Assert(second.Granted, qt.IsFalse)
		c.Assert(second.Existing.State, qt.Equals, "")
		c.Assert(claimer.Claim(newClaim("a", "1")).Granted, qt.IsTrue, qt.Commentf("the same execution repeats its claim"))
	})
	c.Run("a later execution receives the result of the first", func(c *qt.C) {
		claimer := newClaimer()
		claimer.Claim(newClaim("a", "1"))
		claimer.Record(messenger.Claim{Key: "a", Nonce: "1", State: Done, Status: 201, Body: []byte("slot 7")})
		reply := claimer.Claim(newClaim("a", "2"))
		c.Assert(reply.Existing.Status, qt.Equals, 201)
		c.Assert(string(reply.Existing.Body), qt.Equals, "slot 7")
		c.Assert(claimer.Claim(newClaim("a", "1")).Granted, qt.IsFalse, qt.Commentf("the first execution may not run again either"))
	})
	c.Run("an execution that did not run frees the key", func(c *qt.C) {
		claimer := newClaimer()
		claimer.Claim(newClaim("a", "1"))
		claimer.Record(messenger.Claim{Key: "a", Nonce: "2", State: NotRun})
		c.Assert(claimer.Claim(newClaim("a", "2")).Granted, qt.IsFalse, qt.Commentf("an execution frees only its own claim"))
		claimer.Record(messenger.Claim{Key: "a", Nonce: "1", State: NotRun})
		c.Assert(claimer.Claim(newClaim("a", "2")).Granted, qt.IsTrue)
	})
	c.Run("a recently started agent cannot rule out an earlier claim", func(c *qt.C) {
		claimer := newClaimer()
		old := newClaim("a", "1")
		old.NotBefore = start.Add(-time.Hour)
		c.Assert(claimer.Claim(old).Indeterminate, qt.IsTrue)
		c.Assert(claimer.Claim(newClaim("b", "1")).Indeterminate, qt.IsFalse, qt.Commentf("the service became active after the agent started"))
		now = now.Add(time.Minute)
		old.Key = "c"
		c.Assert(claimer.Claim(old).Indeterminate, qt.IsFalse, qt.Commentf("an earlier claim would have expired"))
	})
	c.Run("a claim expires", func(c *qt.C) {
		claimer := newClaimer()
		claimer.Claim(newClaim("a", "1"))
		now = now.Add(time.Minute)
		c.Assert(claimer.Claim(newClaim("a", "2")).Granted, qt.IsTrue)
	})
	c.Run("a full table grants nothing and returns no existing claim", func(c *qt.C) {
		claimer := newClaimer()
		for n := range MaxClaims {
			claimer.Claim(newClaim(time.Duration(n).String(), "1"))
		}
		reply := claimer.Claim(newClaim("one more", "1"))
		c.Assert(reply.Granted, qt.IsFalse)
		c.Assert(reply.Existing, qt.IsNil)
	})
}
