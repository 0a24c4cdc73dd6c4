package coordinator_test

import (
	"context"
	"time"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/storer"
)

// storeFor returns the store with the faults that an instance sees.
func (f *fleet) storeFor(name string) *storer.Store {
	s := f.store.Client()
	fault := func() error {
		f.mu.Lock()
		unavailable := f.storeDown || f.rejected[name]
		f.mu.Unlock()
		if unavailable {
			advancer.Sleep(300 * time.Millisecond)
			return storer.ErrUnavailable
		}
		advancer.Sleep(4 * time.Millisecond)
		return nil
	}
	get, page, watch, commit, lease, renew := s.Get, s.ListPage, s.Watch, s.Commit, s.CreateLease, s.RenewLease
	s.Get = func(ctx context.Context, key string) (storer.Item, error) {
		if err := fault(); err != nil {
			return storer.Item{}, err
		}
		return get(ctx, key)
	}
	s.ListPage = func(ctx context.Context, prefix, after string) (storer.Page, error) {
		if err := fault(); err != nil {
			return storer.Page{}, err
		}
		return page(ctx, prefix, after)
	}
	s.Watch = func(ctx context.Context, prefix string, after uint64, until time.Time) (storer.Page, error) {
		if err := fault(); err != nil {
			return storer.Page{}, err
		}
		return watch(ctx, prefix, after, until)
	}
	s.Commit = func(ctx context.Context, change storer.Transaction) (uint64, error) {
		if err := fault(); err != nil {
			return 0, err
		}
		f.mu.Lock()
		loss := f.storeReplyLoss
		f.mu.Unlock()
		if loss == 0 || f.draw(name+"lose") >= loss {
			return commit(ctx, change)
		}
		if f.draw(name+"later") < 0.5 {
			delay := time.Second + time.Duration(f.draw(name+"late")*5e9)
			time.AfterFunc(delay, func() { _, _ = commit(context.Background(), change) })
		} else {
			_, _ = commit(ctx, change)
		}
		advancer.Sleep(500 * time.Millisecond)
		return 0, storer.ErrUnknownOutcome
	}
	s.CreateLease = func(ctx context.Context, ttl time.Duration) (string, error) {
		if err := fault(); err != nil {
			return "", err
		}
		return lease(ctx, ttl)
	}
	s.RenewLease = func(ctx context.Context, id string) error {
		if err := fault(); err != nil {
			return err
		}
		return renew(ctx, id)
	}
	return s
}
