// Package publisher writes operators' documents to the platform's store, and applies
// the documents that other entries wrote.
package publisher

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/cataloger"
	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/storer"
)

const (
	keyPrefix = "team/"
	// retryDelay is the wait after a failed call to the store.
	retryDelay = 500 * time.Millisecond
)

// ErrVersionConflict means that the document no longer has the expected version.
var ErrVersionConflict = errors.New("document was edited meanwhile")

// storedDocument is a document in the store. The nonce makes each write unique, so that
// reading the document back shows whether a write with unknown outcome took effect.
type storedDocument struct {
	Nonce  string `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint"`
}

// Config holds the dependencies of a Publisher.
type Config struct {
	Store     *storer.Client
	Cataloger *cataloger.Cataloger
	Now       func() time.Time
	Log       *zap.Logger
}

// Publisher publishes documents and applies published ones. It is safe for concurrent
// use.
type Publisher struct {
	cfg    Config
	parser *parser.Parser
	// synced is set once all documents have been read from the store.
	synced atomic.Bool
}

// New returns a Publisher.
func New(cfg Config) *Publisher {
	return &Publisher{cfg: cfg, parser: parser.New()}
}

// Synced reports whether all documents have been read from the store since the start.
func (p *Publisher) Synced() bool { return p.synced.Load() }

// Publish writes a team's document if its version in the store is still version, 0 for a
// new team, and returns the new version and the nonce of the write. The error may be
// decoder.Diagnostics, ErrVersionConflict, storer.ErrUnavailable (nothing was written)
// or storer.ErrUnknownOutcome (the document may have been written; the nonce that
// Current returns shows whether it was).
func (p *Publisher) Publish(ctx context.Context, team string, source []byte, version uint64) (uint64, string, error) {
	doc, err := p.parser.Parse(team, source)
	if err != nil {
		return 0, "", err
	}
	if doc.Team != team {
		return 0, "", decoder.Diagnostics{{File: team, Line: 1, Column: 1, Field: "team", Message: fmt.Sprintf("is %q, but the document was sent for %q", doc.Team, team)}}
	}
	s := storedDocument{Nonce: uuid.NewString(), Source: source}
	raw, err := cbor.Marshal(s)
	if err != nil {
		return 0, "", err
	}
	newVersion, err := p.cfg.Store.CompareAndSwapRetry(ctx, keyPrefix+team, raw, version, "")
	if errors.Is(err, storer.ErrConflict) {
		return 0, s.Nonce, fmt.Errorf("%w: %w", ErrVersionConflict, err)
	}
	if err != nil {
		return 0, s.Nonce, err
	}
	d := messenger.Doc{Team: team, Version: newVersion, Source: source}
	p.apply(d)
	p.cfg.Log.Info("document accepted", zap.String("team", team), zap.Uint64("version", newVersion))
	return newVersion, s.Nonce, nil
}

// Current returns a team's document from the store, with the nonce of its last write. If
// the store fails, it returns the document that this entry uses, and the error.
func (p *Publisher) Current(ctx context.Context, team string) (messenger.Doc, string, error) {
	item, err := p.cfg.Store.Get(ctx, keyPrefix+team)
	if err != nil {
		if current := p.cfg.Cataloger.Get(team); current != nil {
			return current.Doc, "", err
		}
		return messenger.Doc{}, "", err
	}
	d, nonce, err := decodeItem(item)
	if err == nil {
		p.apply(d)
	}
	return d, nonce, err
}

// errInvalid means that an entry of the store is not the document of its key's team.
var errInvalid = errors.New("not the document of a team")

func decodeItem(item storer.Item) (messenger.Doc, string, error) {
	team, ok := strings.CutPrefix(item.Key, keyPrefix)
	if !ok || team == "" {
		return messenger.Doc{}, "", fmt.Errorf("reading %q: %w", item.Key, errInvalid)
	}
	var s storedDocument
	if err := cbor.Unmarshal(item.Value, &s); err != nil {
		return messenger.Doc{}, "", fmt.Errorf("reading %s: %w", item.Key, err)
	}
	return messenger.Doc{Team: team, Version: item.Version, Source: s.Source}, s.Nonce, nil
}

func (p *Publisher) apply(d messenger.Doc) {
	doc, err := p.parser.Parse(d.Team, d.Source)
	if err == nil && doc.Team != d.Team {
		err = fmt.Errorf("%w: it is of team %q", errInvalid, doc.Team)
	}
	if err == nil {
		_, err = p.cfg.Cataloger.Put(d)
	}
	if err != nil {
		p.cfg.Log.Error("document in the store does not parse", zap.String("team", d.Team), zap.Error(err))
	}
}

// Serve applies the store's documents until ctx ends.
func (p *Publisher) Serve(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := p.cfg.Store.List(ctx, keyPrefix)
		if err == nil {
			p.applyItems(l.Items)
			p.synced.Store(true)
			err = p.watch(ctx, l.Version)
		}
		if err != nil && ctx.Err() == nil {
			p.cfg.Log.Debug("watching the store's documents failed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}
}

func (p *Publisher) watch(ctx context.Context, version uint64) error {
	for {
		l, err := p.cfg.Store.Watch(ctx, keyPrefix, version)
		if err != nil {
			return err
		}
		if l.Snapshot {
			return nil
		}
		version = max(version, l.Version)
		p.applyItems(l.Items)
	}
}

func (p *Publisher) applyItems(items []storer.Item) {
	for _, item := range items {
		if item.Deleted {
			continue // documents are never deleted, only emptied
		}
		d, _, err := decodeItem(item)
		if err != nil {
			p.cfg.Log.Error("document in the store cannot be read", zap.Error(err))
			continue
		}
		p.apply(d)
	}
}
