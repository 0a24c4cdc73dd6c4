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
// it; after that the setting has no effect, because jobs would change place.
const shardsKey = "ledger/shards"

// retryShards is the wait before the store is asked again.
const retryShards = 500 * time.Millisecond

// shards returns the number of shards that is in force everywhere.
func (e *Entry) shards(ctx context.Context) (int, bool) {
	for ctx.Err() == nil {
		n, err := e.agreeShards(ctx)
		if err == nil {
			if n != e.cfg.Settings.Shards {
				e.cfg.Log.Warn("setting has no effect: the ledger has another number of shards",
					zap.Int("shards", n), zap.Int("setting", e.cfg.Settings.Shards))
			}
			return n, true
		}
		e.cfg.Log.Debug("number of shards not known yet", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(retryShards):
		}
	}
	return 0, false
}

func (e *Entry) agreeShards(ctx context.Context) (int, error) {
	item, err := e.keeper.Get(ctx, shardsKey)
	if errors.Is(err, storer.ErrNotFound) {
		_, err = e.keeper.CompareAndSwap(ctx, shardsKey, []byte(strconv.Itoa(e.cfg.Settings.Shards)), 0, "")
		if err != nil {
			return 0, err
		}
		item, err = e.keeper.Get(ctx, shardsKey)
	}
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(string(item.Value))
}
