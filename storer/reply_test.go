package storer

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/pruner"
)

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddValues are values as another writer may leave them.
var oddValues = []string{
	nested(pruner.MaxDepth + 1), nested(20000), strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000), `"[[["`, `{}`, `null`, `true`, `"x"`, `-1`, `1.5`,
	`9223372036854775808`, `18446744073709551616`, `1e999`, `-1e999`, `9223372036854775807`, `18446744073709551615`, `"` + "\xff" + `"`,
}

// oddItems returns items of the key p/odd that can't be read.
func oddItems() map[string]string {
	items := map[string]string{
		"value is no base64": `{"key":"p/odd","value":"***","version":8}`, "no version": `{"key":"p/odd","value":"eA=="}`,
		"deletion of another type": `{"key":"p/odd","version":8,"gone":7}`, "lease of another type": `{"key":"p/odd","value":"eA==","version":8,"lease":[7]}`,
	}
	for _, odd := range oddValues {
		name := odd[:min(len(odd), 20)]
		items["version "+name] = `{"key":"p/odd","value":"eA==","version":` + odd + `}`
		if odd != `null` {
			items["value "+name] = `{"key":"p/odd","version":8,"value":` + odd + `}`
		}
	}
	return items
}

// clientReplying returns a client of a store that gives each call the same reply.
func clientReplying(body string) *Client {
	return New(Config{Addr: netip.MustParseAddrPort("10.0.0.1:80"), CallsPerSecond: 1e6, Do: func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
	}})
}

// reads returns the calls that read a listing.
func (c *Client) reads() map[string]func() (Listing, error) {
	return map[string]func() (Listing, error){
		"list":  func() (Listing, error) { return c.List(context.Background(), "p/") },
		"watch": func() (Listing, error) { return c.Watch(context.Background(), "p/", 2) },
	}
}

// The whole listing failed, and was asked for again without end.
func TestAListingGoesOnBesideAnEntryThatCantBeRead(t *testing.T) {
	for name, odd := range oddItems() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := clientReplying(`{"items":[{"key":"p/a","value":"MQ==","version":3},` + odd + `,{"key":"p/z","version":9,"gone":true}],"version":12}`)
			for call, read := range client.reads() {
				l, err := read()
				c.Assert(err, qt.IsNil, qt.Commentf(call))
				c.Check(l, qt.DeepEquals, Listing{Items: []Item{{Key: "p/a", Value: []byte("1"), Version: 3}, {Key: "p/odd"}, {Key: "p/z", Version: 9, Deleted: true}}, Version: 12})
			}
		})
	}
}

// An entry of which not even the key can be read is left out.
func TestAnEntryWithoutAKeyIsLeftOut(t *testing.T) {
	c := qt.New(t)
	for _, odd := range oddValues {
		for _, entry := range []string{odd, `{"key":[` + odd + `],"version":8}`} {
			l, err := clientReplying(`{"items":[`+entry+`,{"key":"p/a","value":"MQ==","version":3}],"version":12}`).List(context.Background(), "p/")
			c.Assert(err, qt.IsNil)
			c.Check(l.Items, qt.DeepEquals, []Item{{Key: "p/a", Value: []byte("1"), Version: 3}})
		}
	}
}

// A watch that goes on from 0 gets all changes again.
func TestAWatchGoesOnWhereTheVersionOfTheStoreCantBeRead(t *testing.T) {
	for _, version := range []string{`18446744073709551616`, `18446744073709551615`, `-1`, `"12"`, `1e999`, nested(20000)} {
		c := qt.New(t)
		for call, read := range clientReplying(`{"items":[{"key":"p/a","version":3},{"key":"p/b","version":7,"gone":true}],"version":` + version + `}`).reads() {
			l, err := read()
			c.Assert(err, qt.IsNil, qt.Commentf(call))
			c.Check(l.Version, qt.Equals, uint64(7))
		}
	}
}

// A listing that can't be followed must not pass for an empty one.
func TestAListingThatCantBeFollowedIsAnError(t *testing.T) {
	c := qt.New(t)
	for _, body := range []string{`{}`, `null`, `{"items":[]}`, `{"version":-1}`, `{"items":[7],"version":1e999}`, `{"items":7,"version":12}`, `{"items":[],"version":12,"whole":7}`, `{"items":[`} {
		for call, read := range clientReplying(body).reads() {
			_, err := read()
			c.Check(err, qt.IsNotNil, qt.Commentf("%s of %s", call, body))
		}
	}
	l, err := clientReplying(`{"items":null,"version":0}`).List(context.Background(), "p/")
	c.Assert(err, qt.IsNil, qt.Commentf("an empty store"))
	c.Check(l, qt.DeepEquals, Listing{})
}

// A key that can't be read must not pass for one without a version, which does not exist.
func TestAKeyThatCantBeReadIsUnavailable(t *testing.T) {
	for name, odd := range oddItems() {
		t.Run(name, func(t *testing.T) {
			_, err := clientReplying(odd).Get(context.Background(), "p/odd")
			qt.Check(t, err, qt.ErrorIs, ErrUnavailable)
			_, err = clientReplying(odd).CompareAndSwap(context.Background(), "p/odd", nil, 3, "")
			qt.Check(t, err, qt.ErrorIs, ErrUnknownOutcome)
		})
	}
}

// FuzzListing checks that each listing has the keys that can be read, and a place to go on from.
func FuzzListing(f *testing.F) {
	for _, odd := range oddItems() {
		f.Add(`{"items":[{"key":"p/a","value":"MQ==","version":3},` + odd + `],"version":12}`)
	}
	for _, odd := range oddValues {
		f.Add(`{"items":[` + odd + `],"whole":` + odd + `,"version":` + odd + `}`)
	}
	f.Fuzz(func(t *testing.T, body string) {
		for _, read := range clientReplying(body).reads() {
			l, err := read()
			if err != nil {
				continue
			}
			qt.Assert(t, l.Version <= maxVersion, qt.IsTrue)
			for _, item := range l.Items {
				qt.Assert(t, item.Key, qt.Not(qt.Equals), "")
				qt.Assert(t, item.Version <= maxVersion, qt.IsTrue)
				qt.Assert(t, item.Version != 0 || item.Value == nil && !item.Deleted, qt.IsTrue)
			}
		}
	})
}
