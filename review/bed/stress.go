package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playStress plays random trouble beside large jobs; SEED selects it.
func playStress(dir string, rec *record) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	rng := rand.New(rand.NewPCG(seed, 7))
	longer := time.Duration(1 + seed%4*2)
	w, err := newWorld(dir, rec, size{entries: 3, workers: 4, cpu: 64000, memory: 256000, plan: func(task string) time.Duration {
		return longer * time.Duration(200+len(task)*7%300+int(task[len(task)-1])*13%400) * time.Millisecond
	}})
	if err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	var mode string
	var mu sync.Mutex
	w.gate = func(out http.ResponseWriter, r *http.Request, _ http.Handler) bool {
		mu.Lock()
		m := mode
		mu.Unlock()
		switch m {
		case "silent":
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case "busy":
			reply(out, http.StatusServiceUnavailable, map[string]any{})
			return false
		case "slow":
			time.Sleep(240 * time.Millisecond)
		}
		return true
	}
	var lateUntil time.Time
	for _, wk := range w.workers {
		wk.late = func(path string) time.Duration {
			if path != words["start"] && path != words["stop"] {
				return 0
			}
			mu.Lock()
			defer mu.Unlock()
			if time.Now().Before(lateUntil) && rand.Float64() < 0.3 {
				return time.Duration(2000+rand.IntN(10000)) * time.Millisecond
			}
			return 0
		}
	}
	counts := []int{6, 40, 300, 900, 2000}
	if os.Getenv("SMALL") != "" {
		counts = []int{6, 12, 20, 40, 60}
	}
	accepted, canceled := map[string]bool{}, map[string]bool{}
	over := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		r := rand.New(rand.NewPCG(seed, 8))
		for n := 0; ; n++ {
			select {
			case <-over:
				return
			case <-time.After(time.Duration(500+r.IntN(2500)) * time.Millisecond):
			}
			id := fmt.Sprintf("b%07x%08x", seed, n)
			count := counts[r.IntN(5)]
			cpu := []int{50, 100, 400}[r.IntN(3)]
			body := map[string]any{"spec": id, "phases": []any{
				map[string]any{"count": count, "cpu": cpu, "memMb": 20, "estimateMs": 500},
				map[string]any{"count": 1 + count/3, "cpu": cpu, "memMb": 20, "estimateMs": 500, "after": []int{0}},
			}}
			if w.submit(id, body, 12*time.Second) {
				mu.Lock()
				accepted[id] = true
				mu.Unlock()
			}
		}
	}()
	began := time.Now()
	for time.Since(began) < 40*time.Second {
		time.Sleep(time.Duration(1500+rng.IntN(4000)) * time.Millisecond)
		switch kinds[rng.IntN(len(kinds))] {
		case "entry":
			w.signal(w.entries[rng.IntN(len(w.entries))], syscall.SIGKILL)
		case "term":
			w.signal(w.entries[rng.IntN(len(w.entries))], syscall.SIGTERM)
		case "agent":
			w.signal(w.workers[rng.IntN(len(w.workers))].name, syscall.SIGKILL)
		case "agentterm":
			w.signal(w.workers[rng.IntN(len(w.workers))].name, syscall.SIGTERM)
		case "freeze":
			names := append(append([]string{}, w.entries...), w.workers[0].name, w.workers[1].name)
			name := names[rng.IntN(len(names))]
			w.signal(name, syscall.SIGSTOP)
			time.Sleep(time.Duration(800+rng.IntN(3000)) * time.Millisecond)
			w.signal(name, syscall.SIGCONT)
		case "crash":
			wk := w.workers[rng.IntN(len(w.workers))]
			wk.crash()
			time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			wk.boot()
		case "store":
			mu.Lock()
			mode = []string{"silent", "busy", "slow"}[rng.IntN(3)]
			rec.note("store %s", mode)
			mu.Unlock()
			time.Sleep(time.Duration(1000+rng.IntN(3500)) * time.Millisecond)
			mu.Lock()
			mode = ""
			mu.Unlock()
			rec.note("store well")
		case "late":
			mu.Lock()
			lateUntil = time.Now().Add(5 * time.Second)
			mu.Unlock()
			rec.note("orders are carried out late")
		case "cancel":
			mu.Lock()
			var live []string
			for id := range accepted {
				if !canceled[id] {
					live = append(live, id)
				}
			}
			mu.Unlock()
			if len(live) > 0 {
				id := live[rng.IntN(len(live))]
				for _, front := range w.fronts {
					if status, _ := w.send(front, http.MethodDelete, id, nil); status == http.StatusOK {
						mu.Lock()
						canceled[id] = true
						mu.Unlock()
						break
					}
				}
			}
		case "compact":
			w.store.Compact()
			rec.note("history dropped")
		}
	}
	close(over)
	wg.Wait()
	var broken []string
	await(25*time.Second, func() bool {
		for id := range accepted {
			if w.state(id) != "complete" && !canceled[id] {
				return false
			}
		}
		return true
	})
	for id := range accepted {
		if s := w.state(id); s != "complete" && !canceled[id] || canceled[id] && w.running(id) > 0 {
			broken = append(broken, fmt.Sprintf("LOST: %s is %q at the end, %d run", id, s, w.running(id)))
		}
	}
	rec.note("%d jobs accepted, %d starts", len(accepted), starts(rec.all(), "b"))
	return append(summary(broken), summary(judgeTwice(rec.all()))...), nil
}
