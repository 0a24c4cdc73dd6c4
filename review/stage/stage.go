// Command stage plays one case of the review: it starts the project's entries and agents as
// separate processes on loopback addresses, and stands in for the platform's store, its workers,
// its operator and its clients.
package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed wire.json
var wireFile []byte

var wireNames = func() map[string]string {
	var names map[string]string
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}()

// wire returns a name of the platform's protocol.
func wire(name string) string {
	full, ok := wireNames[name]
	if !ok {
		panic("no wire name " + name)
	}
	return full
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// line is a start or an end of a run.
type line struct {
	at      time.Time
	kind    string // start, end or noted
	worker  string
	task    string
	attempt uint64
	how     string
}

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	lines []line
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) log(l line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.at = time.Now()
	r.lines = append(r.lines, l)
	r.write("%-5s %s run %d at %s %s", l.kind, l.task, l.attempt, l.worker, l.how)
}

func (r *record) start(worker, task string, attempt uint64) {
	r.log(line{kind: "start", worker: worker, task: task, attempt: attempt})
}

func (r *record) end(worker, task string, attempt uint64, how string) {
	r.log(line{kind: "end", worker: worker, task: task, attempt: attempt, how: how})
}

func (r *record) noted(worker, task string, attempt uint64, how string) {
	r.log(line{kind: "noted", worker: worker, task: task, attempt: attempt, how: how})
}

// all returns the starts and ends so far.
func (r *record) all() []line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]line(nil), r.lines...)
}

// process is one of the project's processes.
type process struct {
	name, role, settings string
	stage                *stage
	running              *os.Process
	// listen is where clients or the worker reach it, peer where entries and agents do.
	listen, peer string
}

// stage is a small deployment.
type stage struct {
	*record
	dir     string
	done    chan struct{}
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
	trouble bool
}

// must ends the case with the exit code for one that could not run.
func (s *stage) must(err error) {
	if err != nil {
		s.add("the case can't run: %v", err)
		s.close()
		os.Exit(noRun)
	}
}

// freeAddr returns an address that is free, with a port below those that the system gives to others.
func freeAddr() (string, error) {
	var err error
	for range 100 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 11000+rand.IntN(18000))); err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", err
}

func (s *stage) addr() string {
	addr, err := freeAddr()
	s.must(err)
	return addr
}

// storeFor listens for the calls of one process to the store.
func (s *stage) storeFor(name string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	server := &http.Server{Handler: s.store.handler(name)}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// addEntry adds an entry with a share of a core, which orders the candidates for ownership.
func (s *stage) addEntry(cores string) *process {
	p := &process{name: fmt.Sprintf("edge-%d", len(s.entries)+1), role: "pool-entry", stage: s, listen: s.addr(), peer: s.addr()}
	p.settings = fmt.Sprintf("id: %s\ndomain: z1\nlisten: %s\nready: %s\npeer: %s\nstore: %s\nhold: 6000ms\nkeep: 120s\ndrain: 6s\ncores: %s\nspeed: 1\nlevel: info\n",
		p.name, p.listen, s.addr(), p.peer, s.storeFor(p.name), cores)
	s.entries = append(s.entries, p)
	return p
}

// addWorker adds a worker and its agent.
func (s *stage) addWorker(service string, labels []string, cpu, memory int, planOf func(*worker, string, uint64, string) plan) (*worker, *process) {
	n := len(s.agents) + 1
	w := newWorker(fmt.Sprintf("i-%d", n), service, labels, cpu, memory, s.record)
	w.plan = planOf
	s.must(w.serve(s.done))
	p := &process{name: fmt.Sprintf("side-%d", n), role: "pool-agent", stage: s, listen: s.addr()}
	p.settings = fmt.Sprintf("id: %s\ndomain: z1\nlisten: %s\nworker: %s\npool: %s\nstore: %s\nhold: 6000ms\nlevel: info\n", p.name, p.listen, w.addr, service, s.storeFor(p.name))
	w.mu.Lock()
	w.agent = p.listen
	w.mu.Unlock()
	s.agents, s.workers = append(s.agents, p), append(s.workers, w)
	return w, p
}

// start starts the process with the command of its role in the deploy file.
func (p *process) start() {
	s := p.stage
	file := filepath.Join(s.dir, p.name+".yaml")
	s.must(os.WriteFile(file, []byte(p.settings), 0o600))
	out, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.must(err)
	defer func() { _ = out.Close() }()
	program, err := filepath.Abs("target/endivefall")
	s.must(err)
	p.running, err = os.StartProcess(program, []string{program, p.role, file}, &os.ProcAttr{Env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}, Files: []*os.File{nil, out, out}})
	s.must(err)
	s.add("started %s", p.name)
}

func (p *process) signal(sig syscall.Signal, what string) {
	p.stage.add("%s %s", what, p.name)
	_ = p.running.Signal(sig)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, "kill")
	_, _ = p.running.Wait()
	p.running = nil
}

// startAll starts all processes and waits until the deployment serves.
func (s *stage) startAll() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		p.start()
	}
	time.Sleep(5 * time.Second)
}

func (s *stage) close() {
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if p.running != nil {
			_ = p.running.Signal(syscall.SIGCONT)
			_ = p.running.Kill()
			_, _ = p.running.Wait()
		}
	}
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// call sends a request of a client to an entry and returns its status, 0 without an answer, and
// its body.
func (s *stage) call(p *process, method, host, path string, body any) (int, string) {
	raw := []byte{}
	if body != nil {
		var err error
		raw, err = json.Marshal(body)
		s.must(err)
	}
	req, err := http.NewRequest(method, "http://"+p.listen+path, bytes.NewReader(raw))
	s.must(err)
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.add("%s %s at %s: no answer: %v", method, path, p.name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	s.add("%s %s at %s: %d %s", method, path, p.name, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode, string(answer)
}

// submit hands a submission in, again at the next entry where a client may do so, and reports
// whether it was accepted.
func (s *stage) submit(host, path string, body any) bool {
	for try := range 8 {
		p := s.entries[try%len(s.entries)]
		if p.running == nil {
			continue
		}
		if status, _ := s.call(p, http.MethodPost, host, path, body); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// logged returns the names of the processes whose logs have a text.
func (s *stage) logged(text string) []string {
	var names []string
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		raw, err := os.ReadFile(filepath.Join(s.dir, p.name+".log"))
		if err == nil && strings.Contains(string(raw), text) {
			names = append(names, p.name)
		}
	}
	return names
}

// owner returns the entry that owns the pools, as the store names it.
func (s *stage) owner() *process {
	raw := string(s.store.value("ef/live/owner"))
	for _, p := range s.entries {
		if strings.Contains(raw, p.name) {
			return p
		}
	}
	return nil
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(noRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	s := &stage{record: &record{began: time.Now(), file: file}, dir: dir, done: make(chan struct{}), store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	go s.store.expireLoop(s.done)
	verdict, why := cases[os.Args[1]](s)
	s.add("verdict %d: %s", verdict, why)
	fmt.Println(verdict, why)
	s.close()
	os.Exit(verdict)
}
