package storer

import (
	"encoding/json"
	"errors"
	"strconv"
)

// maxVersion bounds versions: not every JSON number above it has a value of its own.
const maxVersion = 1 << 53

// errUnreadableReply means that the store has answered a read, but it can't be told where the
// next one begins.
var errUnreadableReply = errors.New("reply of the store can't be read")

// readable reports whether the item has a version of the store.
func (i *Item) readable() bool { return i.Version > 0 && i.Version <= maxVersion }

// listedItem is an item of a listing.
type listedItem struct{ Item }

// UnmarshalJSON reads the item. Of one that can't be read it keeps no more than the key. It
// never fails, as the other items would not be read then.
func (i *listedItem) UnmarshalJSON(raw []byte) error {
	i.Item = Item{}
	if err := json.Unmarshal(raw, &i.Item); err != nil || !i.readable() {
		i.Item = Item{Key: i.Key}
	}
	return nil
}

// listedVersion is the version of a listing; nil if it can't be read. An empty store has
// version 0.
type listedVersion struct{ version *uint64 }

// UnmarshalJSON reads the version. It never fails, as the items would not be read then.
func (v *listedVersion) UnmarshalJSON(raw []byte) error {
	v.version = nil
	if n, err := strconv.ParseUint(string(raw), 10, 64); err == nil && n <= maxVersion {
		v.version = &n
	}
	return nil
}

// listingReply is the reply to a list or a watch.
type listingReply struct {
	Items    []listedItem  `json:"items"`
	Version  listedVersion `json:"version"`
	Snapshot bool          `json:"whole"`
}

// toListing returns the readable part of a reply: items without a key are left out. Where the
// version can't be read, it is at least that of each item.
func (r *listingReply) toListing() (Listing, error) {
	l := Listing{Snapshot: r.Snapshot}
	for _, i := range r.Items {
		l.Version = max(l.Version, i.Version)
		if i.Key != "" {
			l.Items = append(l.Items, i.Item)
		}
	}
	switch {
	case r.Version.version != nil:
		l.Version = *r.Version.version
	case l.Version == 0:
		return Listing{}, errUnreadableReply
	}
	return l, nil
}
