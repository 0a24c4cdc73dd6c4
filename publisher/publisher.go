// Package publisher accepts operators' documents into the platform's store and
// follows what others accepted.
package publisher

import (
	"context"
	"errors"
	"fmt"
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
	prefix = "team/"
	// pause is the wait before the store is asked again after it failed.
	pause = 500 * time.Millisecond
)

// ErrVersionConflict says that someone else changed the document meanwhile.
var ErrVersionConflict = errors.New("document was edited meanwhile")

// stored is a document in the store. The nonce makes each write unlike every
// other, so that reading it back settles whether it took effect.
type stored struct {
	Nonce  string `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint"`
}

// Config is what a Publisher needs.
type Config struct {
	Keeper    *storer.Client
	Cataloger *cataloger.Cataloger
	Now       func() time.Time
	Log       *zap.Logger
}

// Publisher accepts and follows documents. It is safe for concurrent use.
type Publisher struct {
	cfg    Config
	parser *parser.Parser
	// listed is set once all documents were read from the store.
	listed atomic.Bool
}

// New returns a Publisher.
func New(cfg Config) *Publisher {
	return &Publisher{cfg: cfg, parser: parser.New()}
}

// Synced says whether the store's documents were read since the start.
func (p *Publisher) Synced() bool { return p.listed.Load() }

// Publish writes a team's document if its version is still version, 0 for a new
// team, and returns the new version. The error may be decoder.Faults,
// ErrEdited, keeper.ErrDown (nothing changed) or keeper.ErrUnsettled (it may
// have been accepted; the nonce tells).
func (p *Publisher) Publish(ctx context.Context, team string, source []byte, version uint64) (uint64, string, error) {
	doc, err := p.parser.Parse(team, source)
	if err != nil {
		return 0, "", err
	}
	if doc.Team != team {
		return 0, "", decoder.Diagnostics{{File: team, Line: 1, Column: 1, Field: "team", Message: fmt.Sprintf("is %q, but the document was sent for %q", doc.Team, team)}}
	}
	s := stored{Nonce: uuid.NewString(), Source: source}
	raw, err := cbor.Marshal(s)
	if err != nil {
		return 0, "", err
	}
	got, err := p.cfg.Keeper.CompareAndSwapRetry(ctx, prefix+team, raw, version, "")
	if errors.Is(err, storer.ErrConflict) {
		return 0, s.Nonce, fmt.Errorf("%w: %w", ErrVersionConflict, err)
	}
	if err != nil {
		return 0, s.Nonce, err
	}
	d := messenger.Doc{Team: team, Version: got, Source: source}
	p.put(d)
	p.cfg.Log.Info("document accepted", zap.String("team", team), zap.Uint64("version", got))
	return got, s.Nonce, nil
}

// Current returns a team's document as the store has it now. When the store
// is down it returns the one in force here and that error.
func (p *Publisher) Current(ctx context.Context, team string) (messenger.Doc, string, error) {
	item, err := p.cfg.Keeper.Get(ctx, prefix+team)
	if err != nil {
		if k := p.cfg.Cataloger.Get(team); k != nil {
			return k.Doc, "", err
		}
		return messenger.Doc{}, "", err
	}
	d, nonce, err := read(item)
	if err == nil {
		p.put(d)
	}
	return d, nonce, err
}

func read(item storer.Item) (messenger.Doc, string, error) {
	var s stored
	if err := cbor.Unmarshal(item.Value, &s); err != nil {
		return messenger.Doc{}, "", fmt.Errorf("reading %s: %w", item.Key, err)
	}
	return messenger.Doc{Team: item.Key[len(prefix):], Version: item.Version, Source: s.Source}, s.Nonce, nil
}

func (p *Publisher) put(d messenger.Doc) {
	if _, err := p.cfg.Cataloger.Put(d); err != nil {
		p.cfg.Log.Error("document in the store does not parse", zap.String("team", d.Team), zap.Error(err))
	}
}

// Serve follows the store's documents until ctx ends.
func (p *Publisher) Serve(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := p.cfg.Keeper.List(ctx, prefix)
		if err == nil {
			p.take(l.Items)
			p.listed.Store(true)
			err = p.follow(ctx, l.Version)
		}
		if err != nil && ctx.Err() == nil {
			p.cfg.Log.Debug("store's documents not followed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

func (p *Publisher) follow(ctx context.Context, version uint64) error {
	for {
		l, err := p.cfg.Keeper.Watch(ctx, prefix, version)
		if err != nil {
			return err
		}
		if l.Snapshot {
			return nil
		}
		version = max(version, l.Version)
		p.take(l.Items)
	}
}

func (p *Publisher) take(items []storer.Item) {
	for _, item := range items {
		if item.Deleted {
			continue // documents are emptied, never deleted
		}
		d, _, err := read(item)
		if err != nil {
			p.cfg.Log.Error("document in the store cannot be read", zap.Error(err))
			continue
		}
		p.put(d)
	}
}
