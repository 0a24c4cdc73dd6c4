package messenger

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// oddAddrs returns addresses as a list may hold them at which nothing listens.
func oddAddrs() []any {
	odd := []any{nil, 7, -1, 1e300, "10.0.0.1:99999", "10.0.0.1:80", []byte{10, 0, 0, 1, 0}, []byte{10, 0, 0, 1}, []any{[]any{1}}, map[int]any{1: 2}, netip.AddrPort{}}
	for _, s := range []string{"10.0.0.1:0", "[2001:db8::1]:0", "0.0.0.0:80", "[::]:80", "[::ffff:0.0.0.0]:80", "224.0.0.1:80", "[ff02::1]:80", "[::ffff:224.0.0.1]:80"} {
		odd = append(odd, netip.MustParseAddrPort(s))
	}
	return odd
}

// The addresses were dialled, or the frame failed with all others.
func TestAddressesAtWhichNothingListensAreDropped(t *testing.T) {
	good := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:80"), netip.MustParseAddrPort("[2001:db8::2]:81"), netip.MustParseAddrPort("127.0.0.1:82")}
	for n, odd := range oddAddrs() {
		t.Run(fmt.Sprintf("%d %v", n, odd), func(t *testing.T) {
			c := qt.New(t)
			list := []any{good[0], odd, good[1], good[2], odd}
			raw, err := cbor.Marshal(map[int]any{1: KindWelcome, 6: map[int]any{1: Version, 5: list}})
			c.Assert(err, qt.IsNil)
			f, err := Decode(raw)
			c.Assert(err, qt.IsNil)
			c.Check(fmt.Sprint(f.Welcome.Peers), qt.Equals, fmt.Sprint(good))
			raw, err = cbor.Marshal(map[int]any{1: KindPeers, 10: map[int]any{1: list}})
			c.Assert(err, qt.IsNil)
			f, err = Decode(raw)
			c.Assert(err, qt.IsNil)
			c.Check(fmt.Sprint(f.Peers.Addrs), qt.Equals, fmt.Sprint(good))
		})
	}
}
