package publisher

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/cataloger"
	"github.com/endivefall/endivefall/storer"
)

// documentOf returns the stored document of a team.
func documentOf(c *qt.C, team string) []byte {
	raw, err := cbor.Marshal(storedDocument{Nonce: "n", Source: []byte("team: " + team + "\n")})
	c.Assert(err, qt.IsNil)
	return raw
}

// An entry under a short key ended the process.
func TestDocumentsAreReadBesideAnOddOne(t *testing.T) {
	good := documentOf(qt.New(t), "b")
	for name, odd := range map[string]storer.Item{
		"no key": {Value: good, Version: 4}, "short key": {Key: "te", Value: good, Version: 4}, "key of another kind": {Key: "other/b", Value: good, Version: 4},
		"key without a team": {Key: keyPrefix, Value: good, Version: 4}, "no version": {Key: keyPrefix + "a"}, "no CBOR": {Key: keyPrefix + "a", Value: []byte("\xff"), Version: 4},
		"nested": {Key: keyPrefix + "a", Value: bytes.Repeat([]byte{0x81}, 10000), Version: 4}, "document of another team": {Key: keyPrefix + "a", Value: good, Version: 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := New(Config{Cataloger: cataloger.New(), Log: zap.NewNop()})
			p.applyItems([]storer.Item{{Key: keyPrefix + "a", Value: documentOf(c, "a"), Version: 3}})
			p.applyItems([]storer.Item{odd, {Key: keyPrefix + "b", Value: good, Version: 5}})
			c.Check(p.cfg.Cataloger.All(), qt.HasLen, 2)
			c.Check(p.cfg.Cataloger.Get("a").Version, qt.Equals, uint64(3), qt.Commentf("the document before stays in force"))
			c.Check(p.cfg.Cataloger.Get("b").Version, qt.Equals, uint64(5))
		})
	}
}
