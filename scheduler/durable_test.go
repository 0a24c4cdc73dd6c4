package scheduler_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/advancer"
	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/placer"
	"github.com/endivefall/endivefall/recorder"
	"github.com/endivefall/endivefall/scheduler"
	"github.com/endivefall/endivefall/storer"
)

// TestAGrantIsDurableBeforeItIsSent guards against a grant that reaches an agent
// before it is committed: the next owner would grant its tasks to another agent.
func TestAGrantIsDurableBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var storeFails atomic.Bool // the store rejects all writes
		var sent atomic.Int64
		identity := func(now time.Time) time.Time { return now }
		store := recorder.Store{
			Get: func(context.Context, string) (storer.Item, error) { return storer.Item{}, storer.ErrNotFound },
			CompareAndSwapRetry: func(_ context.Context, _ string, _ []byte, version uint64, _ string) (uint64, error) {
				if storeFails.Load() {
					return 0, storer.ErrConflict
				}
				return version + 1, nil
			},
			Earliest: identity, Latest: identity,
		}
		pl := placer.New(placer.Config{Now: time.Now, Rand: rand.New(rand.NewPCG(1, 2))})
		s := scheduler.New(scheduler.Config{
			Shards: 1, Lease: 5 * time.Second, Margin: time.Second, LostAgentGrace: 20 * time.Second, Now: time.Now, Placer: pl, Log: zap.NewNop(),
			ShouldOwn: func(uint32) bool { return true },
			Claim: func(ctx context.Context, _ uint32) (*recorder.Recorder, error) {
				if storeFails.Load() {
					return nil, errors.New("store is unavailable")
				}
				return recorder.Acquire(ctx, recorder.Config{
					Key: "ledger/0", Owner: "e", Incarnation: "1", OwnershipTTL: time.Minute, Now: time.Now, Store: store,
					Alive: func(string, string) bool { return false },
				})
			},
			AgentLink: func(agent string) (scheduler.AgentLink, bool) {
				return scheduler.AgentLink{ID: agent, Incarnation: "b", RemoteDeadline: func(_, local time.Time) time.Time { return local }, TrySend: func(f messenger.Frame) error {
					if f.Kind == messenger.KindGrant {
						sent.Add(1)
					}
					return nil
				}}, true
			},
			EarliestPlatformTime: identity, Quota: func(string) parser.Resources { return parser.Resources{} },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Serve(ctx)
		}()
		advancer.Sleep(2 * time.Second)
		need := parser.Resources{Processors: 1, Memory: 1 << 30}
		job := parser.Job{Name: "job", Tasks: 1, Deadline: time.Hour, Need: need, Payload: "1s"}
		_, err := s.Submit(ctx, "team/job/first", job)
		c.Assert(err, qt.IsNil)
		storeFails.Store(true)
		size := parser.Resources{Processors: 8, Memory: 8 << 30}
		pl.Update(placer.Agent{ID: "a", Total: size, Free: size})
		s.AgentConnected("a")
		advancer.Sleep(3 * time.Second)
		c.Assert(sent.Load(), qt.Equals, int64(0))
		cancel()
		<-done
		advancer.Sleep(time.Minute)
	})
}
