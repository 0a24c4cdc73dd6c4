package messenger

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// Addrs is a list of addresses to dial.
type Addrs []netip.AddrPort

// UnmarshalCBOR reads the list without the addresses that can't be read or at which nothing
// can listen. The others hold.
func (a *Addrs) UnmarshalCBOR(raw []byte) error {
	var list []cbor.RawMessage
	if err := decMode.Unmarshal(raw, &list); err != nil {
		return err
	}
	*a = nil
	for _, element := range list {
		var addr netip.AddrPort
		if err := decMode.Unmarshal(element, &addr); err == nil && canListen(addr) {
			*a = append(*a, addr)
		}
	}
	return nil
}

func canListen(addr netip.AddrPort) bool {
	ip := addr.Addr().Unmap()
	return ip.IsValid() && !ip.IsUnspecified() && !ip.IsMulticast() && addr.Port() != 0
}
