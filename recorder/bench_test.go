package recorder

import (
	"context"
	"fmt"
	"testing"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

// BenchmarkCommit measures the CPU time and the size of one commit, by the number of
// grants in the shard, each of ten tasks.
func BenchmarkCommit(b *testing.B) {
	for _, grants := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(grants), func(b *testing.B) {
			m := &memoryStore{}
			rec, err := acquire(m, "e1", false)
			if err != nil {
				b.Fatal(err)
			}
			const grantsPerRun = 1000
			err = rec.commit(context.Background(), func(s *shard) {
				for n := range (grants + grantsPerRun - 1) / grantsPerRun {
					run := &Run{ID: fmt.Sprintf("team/job/run-%d", n), State: Running, Spec: parser.Job{Tasks: 10 * grantsPerRun}}
					for g := range min(grantsPerRun, grants) {
						run.AddGrant(Grant{Agent: fmt.Sprintf("agent-%05d", g), Incarnation: "0123456789abcdef0123456789abcdef0123", From: 10 * g, To: 10*g + 10, Epoch: 1})
					}
					s.Runs[run.ID] = run
				}
			})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := rec.commit(context.Background(), func(*shard) {}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(m.value)), "B/commit")
			b.ReportMetric(float64(len(m.value))/float64(10*grants), "B/start")
		})
	}
}

// BenchmarkApplyOutcomes measures the time to apply one outcome, by the number of
// tasks in the run.
func BenchmarkApplyOutcomes(b *testing.B) {
	for _, tasks := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			n := 0
			var r *Run
			for b.Loop() {
				if n%tasks == 0 {
					r = &Run{State: Running, Spec: parser.Job{Tasks: tasks}}
					r.AddGrant(Grant{From: 0, To: tasks})
				}
				r.ApplyOutcomes(1, []messenger.Outcome{{Index: n % tasks, Status: messenger.AttemptFinished}}, false, r.Deadline)
				n++
			}
		})
	}
}
