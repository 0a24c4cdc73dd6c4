package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/storer"
)

// shardsKey holds the number of the ledger's shards. The first entry writes
// it; after that the setting has no effect, because another number would map jobs
// to other shards.
const shardsKey = "ledger/shards"

// shardsRetryDelay is the delay between attempts to read the number of shards.
const shardsRetryDelay = 500 * time.Millisecond

// shardCount waits for the number of shards that all entries use. It returns false
// if ctx ends before.
func (e *Entry) shardCount(ctx context.Context) (int, bool) {
	for ctx.Err() == nil {
		n, err := e.readOrWriteShardCount(ctx)
		if err == nil {
			if n != e.cfg.Settings.Shards {
				e.cfg.Log.Warn("ignoring the shards setting: the ledger has another number of shards",
					zap.Int("shards", n), zap.Int("setting", e.cfg.Settings.Shards))
			}
			return n, true
		}
		e.cfg.Log.Debug("reading the number of shards failed", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(shardsRetryDelay):
		}
	}
	return 0, false
}

func (e *Entry) readOrWriteShardCount(ctx context.Context) (int, error) {
	item, err := e.store.Get(ctx, shardsKey)
	if errors.Is(err, storer.ErrNotFound) {
		_, err = e.store.CompareAndSwap(ctx, shardsKey, []byte(strconv.Itoa(e.cfg.Settings.Shards)), 0, "")
		if err != nil {
			return 0, err
		}
		item, err = e.store.Get(ctx, shardsKey)
	}
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(string(item.Value))
}
