// Package e2e tests the built binary, run as separate processes.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/faker"
)

// waitTimeout bounds every wait for an event, so that a run that hangs ends.
const waitTimeout = time.Minute

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "endivefall")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "endivefall")
	build := append(append([]string{"build"}, buildFlags...), "-o", binary, "..")
	if out, err := exec.Command("go", build...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// world is the set of processes of one test: a fake platform, entries and
// instances.
type world struct {
	c                 *qt.C
	dir               string
	platform          *process
	platformAddr      string
	entries           []*process
	entryHTTP, confs  []string
	instances         []*instance
	client            *http.Client
	mu                sync.Mutex
	processes         []*process
	lease, hold, turn string // settings of the entries
	settings          string // further settings of entries and agents
}

// lastPort is the last port that freeAddr tried. The ports lie below the range
// that the system uses for outgoing connections, so that no connection takes a
// port between its choice and its use.
var lastPort atomic.Int64

func freeAddr(c *qt.C) string {
	const first, last = 15000, 31000
	lastPort.CompareAndSwap(0, int64(first+os.Getpid()%1000*10))
	for range last - first {
		port := first + (lastPort.Add(1)-first)%(last-first)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	c.Fatal("no free port")
	return ""
}

// newWorld starts a fake platform, entries and instances of the association's
// booking service, and waits until every entry lists every agent.
func newWorld(t testing.TB, entries, instances int) *world {
	return newWorldWith(t, entries, instances, "3s", "60s")
}

// newWorldWith is newWorld with two settings of the entries: lease is how long
// agents keep running tasks without an owner, hold how long grants are extended
// without the store.
func newWorldWith(t testing.TB, entries, instances int, lease, hold string) *world {
	return newWorldSettings(t, entries, instances, lease, hold, "")
}

// newWorldSettings is newWorldWith with further settings of entries and agents, one per line.
func newWorldSettings(t testing.TB, entries, instances int, lease, hold, settings string) *world {
	w := &world{c: qt.New(t), dir: t.TempDir(), client: &http.Client{Timeout: waitTimeout}, lease: lease, hold: hold, turn: "200ms", settings: settings}
	t.Cleanup(w.stop)
	w.platformAddr = freeAddr(w.c)
	w.platform = w.start("platform", "fake", "-platform", w.platformAddr)
	w.waitListening(w.platformAddr)
	peers := make([]string, entries)
	for i := range entries {
		peers[i] = freeAddr(w.c)
		addr := freeAddr(w.c)
		w.entryHTTP = append(w.entryHTTP, addr)
		conf := w.file(fmt.Sprintf("entry-%d.yaml", i), fmt.Sprintf(`
id: entry-%d
domain: d%d
listen: %s
peer: %s
platform: %s
secret: shared
lease: %s
hold: %s
margin: 500ms
turn: %s
%s`, i, i, addr, peers[i], w.platformAddr, w.lease, w.hold, w.turn, w.settings))
		w.confs = append(w.confs, conf)
		w.entries = append(w.entries, w.start(fmt.Sprintf("entry-%d", i), "entry", conf))
	}
	for i := range instances {
		w.addInstance(i, peers)
	}
	w.eventually("every entry lists every agent", func() bool {
		for _, addr := range w.entryHTTP {
			if len(w.status(addr).Agents) != instances {
				return false
			}
		}
		return true
	})
	return w
}

func (w *world) addInstance(i int, peers []string) {
	in := &instance{name: fmt.Sprintf("agent-%d", i), worker: freeAddr(w.c), target: freeAddr(w.c), http: freeAddr(w.c)}
	in.fakes = w.start("fakes-"+in.name, "fake", "-worker", in.worker, "-target", in.target, "-name", in.name)
	in.conf = w.file(in.name+".yaml", fmt.Sprintf(`
id: %s
domain: d%d
listen: %s
entries: [%s]
worker: %s
target: %s
team: association
service: booking
secret: shared
%s`, in.name, i, in.http, strings.Join(peers, ", "), in.worker, in.target, w.settings))
	in.agent = w.start(in.name, "agent", in.conf)
	w.instances = append(w.instances, in)
}

func (w *world) file(name, text string) string {
	path := filepath.Join(w.dir, name)
	w.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func (w *world) start(name string, args ...string) *process {
	p := &process{name: name, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	w.c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p
}

// Limits of what is printed of each process's log, and of one with its goroutines.
const (
	maxLoggedBytes = 2500
	maxDumpedBytes = 200_000
)

// stop kills every process that the world started and, if the test failed,
// prints the end of their logs.
func (w *world) stop() {
	for _, p := range w.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
		if w.c.Failed() {
			text, limit := p.logs(), maxLoggedBytes
			if p.dumped.Load() {
				limit = maxDumpedBytes
			}
			w.c.Logf("---- %s\n%s", p.name, text[max(0, len(text)-limit):])
		}
	}
}

// waitExit waits until a process exits and returns its exit code.
func (w *world) waitExit(p *process) int {
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		w.c.Fatalf("%s does not exit", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// run runs a command of the binary and returns its output and exit code.
func (w *world) run(args ...string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, binary, args...).CombinedOutput()
	code := 0
	if exit, ok := err.(*exec.ExitError); ok {
		code = exit.ExitCode()
	}
	return string(out), code
}

// eventually waits until ok returns true.
func (w *world) eventually(condition string, ok func() bool) {
	w.c.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if ok() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	w.dump()
	w.c.Fatalf("timed out waiting until %s", condition)
}

// dumpTimeout bounds the wait for the goroutines of all processes together.
const dumpTimeout = 5 * time.Second

// dump ends all processes with a list of their goroutines, and logs in which state the
// kernel had each: one that is stopped writes as little as one that hangs.
func (w *world) dump() {
	w.mu.Lock()
	processes := slices.Clone(w.processes)
	w.mu.Unlock()
	for _, p := range processes {
		w.c.Logf("%s: %s", p.name, p.state())
		p.signal(syscall.SIGQUIT)
		p.signal(syscall.SIGCONT)
		p.dumped.Store(true)
	}
	timeout := time.After(dumpTimeout)
	for _, p := range processes {
		select {
		case <-p.done:
		case <-timeout:
			return
		}
	}
}

func (w *world) waitListening(addr string) {
	w.eventually(addr+" listens", func() bool {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

// call sends a request to an entry and reads the whole response.
func (w *world) call(entry int, method, path string, header map[string]string, body io.Reader) (*http.Response, []byte, error) {
	req, err := http.NewRequest(method, "http://"+w.entryHTTP[entry]+path, body)
	w.c.Assert(err, qt.IsNil)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp, raw, err
}

// setFaults sets the faults of the fake platform.
func (w *world) setFaults(f faker.PlatformFaults) {
	raw, err := json.Marshal(f)
	w.c.Assert(err, qt.IsNil)
	resp, err := http.Post("http://"+w.platformAddr+"/fault", "application/json", bytes.NewReader(raw))
	w.c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
}

// records returns the events that all fake workers and targets recorded.
func (w *world) records() []faker.Event {
	var all []faker.Event
	for _, in := range w.instances {
		for _, addr := range []string{in.worker, in.target} {
			var events []faker.Event
			w.get("http://"+addr+"/records", &events)
			all = append(all, events...)
		}
	}
	return all
}
