package recorder

import (
	"context"
	"fmt"
	"testing"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

// BenchmarkCommit is the processor time and size of one commit, by the grants
// that it carries, each of ten tasks.
func BenchmarkCommit(b *testing.B) {
	for _, grants := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(grants), func(b *testing.B) {
			m := &memory{}
			k, err := claim(m, "e1", false)
			if err != nil {
				b.Fatal(err)
			}
			const per = 1000 // grants of one run
			err = k.commit(context.Background(), func(r *record) {
				for n := range (grants + per - 1) / per {
					run := &Run{ID: fmt.Sprintf("team/job/run-%d", n), State: Running, Spec: parser.Job{Tasks: 10 * per}}
					for g := range min(per, grants) {
						run.AddGrant(Grant{Agent: fmt.Sprintf("agent-%05d", g), Incarnation: "0123456789abcdef0123456789abcdef0123", From: 10 * g, To: 10*g + 10, Epoch: 1})
					}
					r.Runs[run.ID] = run
				}
			})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := k.commit(context.Background(), func(*record) {}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(m.value)), "B/commit")
			b.ReportMetric(float64(len(m.value))/float64(10*grants), "B/start")
		})
	}
}

// BenchmarkTake is the time to note the end of a task in a run of many.
func BenchmarkTake(b *testing.B) {
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
