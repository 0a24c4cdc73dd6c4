package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/platform/standin"
	"github.com/endivefall/endivefall/storer"
)

// errCannotRun means that the case could not run.
var errCannotRun = errors.New("case can't run")

// program is one of the project's processes with what it takes to start it again.
type program struct {
	name, role, settings string
	process              *os.Process
	exited               chan struct{}
	told                 atomic.Bool // a signal was sent to it
}

// world is a small deployment: the project's processes, and stand-ins of all else.
type world struct {
	dir     string // temporary
	record  *record
	store   *faker.Store
	entries []*program
	agents  []*program
	fronts  []string
	workers []*worker
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	trouble bool
	ended   atomic.Bool // a process has ended by itself
}

// options are the size of a world and its settings.
type options struct {
	entries, workers int
	cpu, memory      int64
	config           string
	duration         func(task string, attempt uint64) time.Duration
	ending           func(task string, attempt uint64) string
	startup          time.Duration
	measure          func(task string, all []string) int64
	onStart          func(w *worker, task string)
	adviser          http.Handler
	checkTicket      func(id, task, ticket string) bool
}

// Ports that no connection takes by itself.
const firstPort, lastPort = 12000, 31000

// nextPort is the next port to try.
var nextPort = firstPort + os.Getpid()%190*100

// freeAddr returns an address with a free port.
func freeAddr() string {
	for {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return l.Addr().String()
}

// newWorld starts the stand-ins and then the project's processes.
func newWorld(caseDir string, o options) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: rec, store: faker.NewStore(), client: &http.Client{Timeout: 4 * time.Second}, trouble: os.Getenv("TROUBLE") != "0"}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	if _, err := w.store.Client().Commit(w.ctx, storer.Transaction{Writes: []storer.Write{{Key: "op/config", Value: []byte(o.config)}}}); err != nil {
		return nil, err
	}
	storeAddr := serve(&standin.Store{Backend: w.store})
	advice := ""
	if o.adviser != nil {
		advice = "advice: " + serve(o.adviser) + "\n"
	}
	for n := range o.entries {
		front := freeAddr()
		w.fronts = append(w.fronts, front)
		w.entries = append(w.entries, &program{name: fmt.Sprintf("edge-%d", n+1), role: "pool-entry", settings: w.settings(fmt.Sprintf("edge-%d", n+1), fmt.Sprintf(
			"domain: zone-%d\nlisten: %s\nready: %s\npeer: %s\nstore: %s\n%shold: 6000ms\nkeep: 120s\ndrain: 6s\ncores: 0.4\nspeed: 1\nmetrics: %s\nlevel: info\n",
			n+1, front, freeAddr(), freeAddr(), storeAddr, advice, freeAddr()))})
	}
	for n := range o.workers {
		name := fmt.Sprintf("side-%d", n+1)
		wk := &worker{
			name: name, service: "svc", cpu: o.cpu, memory: o.memory, labels: []string{"a", fmt.Sprintf("r1-%d", n/3)}, duration: o.duration, ending: o.ending,
			startup: o.startup, measure: o.measure, onStart: o.onStart, maxHold: 6 * time.Second, record: rec, checkTicket: o.checkTicket,
		}
		if wk.ending == nil {
			wk.ending = func(string, uint64) string { return "done" }
		}
		wk.boot()
		w.workers = append(w.workers, wk)
		control := freeAddr()
		w.agents = append(w.agents, &program{name: name, role: "pool-agent", settings: w.settings(name, fmt.Sprintf(
			"domain: zone-%d\nlisten: %s\nworker: %s\npool: svc\nstore: %s\nhold: 6000ms\nmetrics: %s\nlevel: info\n", n%4+1, control, serve(wk), storeAddr, freeAddr()))})
		go wk.beat(w.ctx, control)
	}
	for _, p := range w.programs() {
		if err := w.start(p); err != nil {
			return w, fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	return w, nil
}

func (w *world) programs() []*program {
	return append(append([]*program(nil), w.entries...), w.agents...)
}

func (w *world) settings(name, body string) string {
	path := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(path, []byte("id: "+name+"\n"+body), 0o600); err != nil {
		panic(err)
	}
	return path
}

// start starts a process; its output goes to a file in the temporary folder.
func (w *world) start(p *program) error {
	out, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	process, err := os.StartProcess("target/endivefall", []string{"endivefall", p.role, p.settings}, &os.ProcAttr{
		Files: []*os.File{nil, out, out}, Env: os.Environ(), Sys: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	})
	if err != nil {
		return err
	}
	p.process, p.exited = process, make(chan struct{})
	exited := p.exited
	p.told.Store(false)
	go func() {
		state, _ := process.Wait()
		if !p.told.Load() {
			w.record.note("%s ended by itself: %v", p.name, state)
			w.ended.Store(true)
		}
		close(exited)
	}()
	w.record.note("started %s", p.name)
	return nil
}

// signal sends a signal to processes.
func (w *world) signal(s syscall.Signal, list ...*program) {
	for _, p := range list {
		w.record.note("%s to %s", s, p.name)
		p.told.Store(true)
		_ = p.process.Signal(s)
	}
}

// restart starts processes again once they have ended.
func (w *world) restart(list ...*program) {
	for _, p := range list {
		<-p.exited
		if err := w.start(p); err != nil {
			panic(err)
		}
	}
}

// close ends all processes.
func (w *world) close() {
	w.cancel()
	for _, p := range w.programs() {
		if p.process != nil {
			p.told.Store(true)
			_ = p.process.Kill()
			<-p.exited
		}
	}
	w.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// send sends a request of a client to an entry. The status is 0 without an answer.
func (w *world) send(entry int, method, path, body string) (status int, answer map[string]any) {
	req, err := http.NewRequestWithContext(w.ctx, method, "http://"+w.fronts[entry]+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "host.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := w.client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		raw, readErr := io.ReadAll(resp.Body)
		if readErr == nil {
			status = resp.StatusCode
			_ = json.NewDecoder(bytes.NewReader(raw)).Decode(&answer)
		}
	}
	w.record.note("%s %s at edge-%d: %d %v", method, path, entry+1, status, answer)
	return status, answer
}

// submit hands a submission in until it is accepted.
func (w *world) submit(path, body string) error {
	for n := range 60 {
		if status, _ := w.send(n%len(w.fronts), http.MethodPost, path, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("%w: no submission is accepted", errCannotRun)
}

// verdict returns what broke a rule, or errCannotRun if a process has ended by itself, as one
// does that finds its port taken.
func (w *world) verdict(broken []string) ([]string, error) {
	if w.ended.Load() {
		return nil, fmt.Errorf("%w: a process has ended by itself", errCannotRun)
	}
	return broken, nil
}

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// running returns how many runs are at work, and how many ends are not taken note of.
func (w *world) running() (runs, ends int) {
	for _, wk := range w.workers {
		r, e := wk.active()
		runs, ends = runs+r, ends+e
	}
	return runs, ends
}

// busiest returns the number of the worker with the most runs.
func (w *world) busiest() int {
	best, most := 0, -1
	for n, wk := range w.workers {
		if runs, _ := wk.active(); runs > most {
			best, most = n, runs
		}
	}
	return best
}
