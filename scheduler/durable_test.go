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

// A grant that the ledger does not have must not reach an agent: the next owner
// would give its tasks to another.
func TestAGrantIsDurableBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var full atomic.Bool // the store takes nothing more
		var grants atomic.Int64
		same := func(now time.Time) time.Time { return now }
		store := recorder.Store{
			Get: func(context.Context, string) (storer.Item, error) { return storer.Item{}, storer.ErrNotFound },
			CompareAndSwapRetry: func(_ context.Context, _ string, _ []byte, version uint64, _ string) (uint64, error) {
				if full.Load() {
					return 0, storer.ErrConflict
				}
				return version + 1, nil
			},
			Earliest: same, Latest: same,
		}
		p := placer.New(placer.Config{Now: time.Now, Rand: rand.New(rand.NewPCG(1, 2))})
		s := scheduler.New(scheduler.Config{
			Shards: 1, Lease: 5 * time.Second, Margin: time.Second, LostAgentGrace: 20 * time.Second, Now: time.Now, Placer: p, Log: zap.NewNop(),
			ShouldOwn: func(uint32) bool { return true },
			Claim: func(ctx context.Context, _ uint32) (*recorder.Recorder, error) {
				if full.Load() {
					return nil, errors.New("store is away")
				}
				return recorder.Acquire(ctx, recorder.Config{
					Key: "ledger/0", Owner: "e", Incarnation: "1", OwnershipTTL: time.Minute, Now: time.Now, Store: store,
					Alive: func(string, string) bool { return false },
				})
			},
			AgentLink: func(agent string) (scheduler.AgentLink, bool) {
				return scheduler.AgentLink{ID: agent, Incarnation: "b", RemoteDeadline: func(_, local time.Time) time.Time { return local }, Post: func(f messenger.Frame) error {
					if f.Kind == messenger.KindGrant {
						grants.Add(1)
					}
					return nil
				}}, true
			},
			EarliestPlatformTime: same, Quota: func(string) parser.Resources { return parser.Resources{} },
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
		full.Store(true)
		room := parser.Resources{Processors: 8, Memory: 8 << 30}
		p.Update(placer.Agent{ID: "a", Total: room, Free: room})
		s.AgentConnected("a")
		advancer.Sleep(3 * time.Second)
		c.Assert(grants.Load(), qt.Equals, int64(0))
		cancel()
		<-done
		advancer.Sleep(time.Minute)
	})
}
