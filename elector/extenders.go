package elector

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/meter"
	"github.com/endivefall/endivefall/storer"
)

// extendersKey is the key of the extenders of the owner. A claim writes it together with the
// owner key, the owner each time the membership has changed.
const extendersKey = livePrefix + "extenders"

// extenders lists the processes that the owner of a term asks before it acts on an old
// confirmation. It asks a process until the store has a list without it, so that the claim of a
// listed one may rely on having been asked, whatever became of its live key since.
type extenders struct {
	Term    uint64     `cbor:"1,keyasint"`
	Entries []extender `cbor:"2,keyasint,omitempty"`
}

func (l extenders) encode() []byte {
	raw, err := cbor.Marshal(l)
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return raw
}

// decodeExtenders reads the list at a version, which is never below the term of its writer.
func decodeExtenders(raw []byte, version uint64) (extenders, error) {
	l, err := decode[extenders](raw)
	if err == nil && l.Term > version {
		err = fmt.Errorf("%w: extenders of term %d at version %d", errInvalid, l.Term, version)
	}
	if err != nil {
		return extenders{}, err
	}
	return l, nil
}

// currentExtendersLocked returns the list that this entry writes as the owner of a term; mu is
// held. A process that still pings it is about to write its live key again.
func (e *Elector) currentExtendersLocked(term uint64) extenders {
	l := extenders{Term: term}
	for id, m := range e.members {
		if x := (extender{id, m.Incarnation}); id != e.cfg.Self.ID && x != e.extensions.before {
			l.Entries = append(l.Entries, x)
		}
	}
	silentSince := e.cfg.Now().Add(-ownerSilence)
	for id, p := range e.extensions.pings {
		if _, live := e.members[id]; !live && id != e.cfg.Self.ID && p.at.After(silentSince) {
			l.Entries = append(l.Entries, extender{id, p.incarnation})
		}
	}
	slices.SortFunc(l.Entries, func(a, b extender) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// applyExtendersLocked applies a newer version of the list; mu is held. One that can't be decoded, or
// that another writer deleted, lists nobody.
func (e *Elector) applyExtendersLocked(item storer.Item) {
	x := &e.extensions
	if item.Version <= x.listedAt {
		return
	}
	x.list, x.listVersion, x.listedAt, x.countedAt = extenders{}, item.Version, item.Version, e.cfg.Now()
	if item.Deleted {
		x.listVersion = 0
		return
	}
	list, err := decodeExtenders(item.Value, item.Version)
	if err != nil {
		e.cfg.Log.Warn("cannot decode the list of extenders", zap.Uint64("version", item.Version), zap.Error(err))
		e.cfg.Count(meter.UnreadableExtenders)
	}
	x.list = list
}

// updateExtenders writes the list of this owner after a change of the membership. Until the
// store has answered, it asks the processes of both lists.
func (e *Elector) updateExtenders(ctx context.Context) {
	e.mu.Lock()
	x := &e.extensions
	list := e.currentExtendersLocked(e.record.Term)
	current := x.list.Term == list.Term && slices.Equal(x.list.Entries, list.Entries) && len(x.written) == 0
	if !e.isOwnerLocked() || current {
		e.mu.Unlock()
		return
	}
	for _, listed := range list.Entries {
		if !slices.Contains(x.written, listed) {
			x.written = append(x.written, listed)
		}
	}
	change := storer.Transaction{
		Checks: []storer.Check{{Key: OwnerKey, Version: e.version}, {Key: extendersKey, Version: x.listVersion}},
		Writes: []storer.Write{{Key: extendersKey, Value: list.encode()}},
	}
	e.mu.Unlock()
	version, err := e.cfg.Store.Commit(ctx, change)
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		e.apply([]storer.Item{conflict.Item(OwnerKey), conflict.Item(extendersKey)})
	case err != nil:
		e.cfg.Log.Warn("could not write the list of extenders", zap.Int("entries", len(list.Entries)), zap.Error(err))
		return
	default:
		e.apply([]storer.Item{{Key: extendersKey, Version: version, Value: change.Writes[0].Value}})
	}
	e.mu.Lock()
	x.written = nil // no earlier write can take effect any more
	e.mu.Unlock()
}

// countedLocked reports whether the owner of record asks this process before it acts on an old
// confirmation, if the list of extenders still has its version in the store; mu is held.
func (e *Elector) countedLocked() bool {
	x := &e.extensions
	return x.list.Term == e.record.Term && slices.Contains(x.list.Entries, extender{e.cfg.Self.ID, e.cfg.Self.Incarnation})
}

// asksLocked reports whether the owner of record asks this process, or an earlier one of the entry; mu is held.
func (e *Elector) asksLocked() bool {
	_, known := e.extendedUntilLocked()
	return known
}
