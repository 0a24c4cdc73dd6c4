package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/platform/standin"
)

// fleet is a small deployment: the store, workers, and the project's processes.
type fleet struct {
	mu      sync.Mutex
	rand    *rand.Rand
	began   time.Time
	record  *os.File
	dir     string
	program string
	service string
	zones   []string
	client  *http.Client
	store   *faker.Store
	// storeOf has the address at which each process reaches the store.
	blocked map[string]bool
	jobs    map[string]*job
	queues  []*queue
	workers []*worker
	entries []*process
	agents  []*process
	audit   *audit
	away    away
	advice  string
	policy  advice
	version int
	// disturbedAt is when the last disturbance ended.
	disturbedAt time.Time
	disturbing  int
}

// process is a process of the project.
type process struct {
	f          *fleet
	role, id   string
	conf       string
	front      string
	peer, bind string
	proxy      *proxy
	proc       *os.Process
	done       chan struct{}
	stopped    bool // it isn't restarted
	ends       int  // times that it ended by itself
	expected   bool // the end that comes was asked for
}

func (f *fleet) note(format string, args ...any) {
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// say notes an event without the lock.
func (f *fleet) say(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note(format, args...)
}

func (f *fleet) fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	f.close()
	os.Exit(couldNotRun)
}

// calm reports whether nothing has disturbed the fleet for a while.
func (f *fleet) calm(span time.Duration) bool {
	return f.disturbing == 0 && time.Since(f.disturbedAt) > span
}

// disturb notes that a disturbance begins; the returned function ends it.
func (f *fleet) disturb(format string, args ...any) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbing++
	f.note("DISTURB "+format, args...)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.disturbing--
		f.disturbedAt = time.Now()
		f.note("DISTURB over: "+format, args...)
	}
}

// freeAddr returns a free loopback address. Its port is below those that the system gives to listeners without one.
func freeAddr() string {
	for {
		addr := strings.TrimSuffix(anyPort, "0") + strconv.Itoa(int(nextPort.Add(1)))
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

// nextPort is the last port that freeAddr has tried.
var nextPort = func() *atomic.Int32 {
	var n atomic.Int32
	n.Store(20000)
	return &n
}()

// anyPort is a loopback address of this process with any free port, so that no other one takes a port between its
// choice and its use.
var anyPort = fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()/62500%200, 1+os.Getpid()/250%250, 1+os.Getpid()%250)

func newFleet(seed uint64, record, program string) (*fleet, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), record: file, dir: dir, program: program, service: "huvo11a", version: 7,
		zones: []string{"north", "east", "south", "west"}, client: &http.Client{Timeout: time.Second}, store: faker.NewStore(), blocked: map[string]bool{}, jobs: map[string]*job{},
	}
	f.audit, f.away = newAudit(f), away{map[string]bool{}, map[string]time.Time{}}
	return f, nil
}

// serveStore opens an address of the store for one process.
func (f *fleet) serveStore(id string) string {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		panic(err)
	}
	store := &standin.Store{Backend: f.store}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			blocked := f.blocked[id]
			f.mu.Unlock()
			if blocked {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if !f.servePages(w, r) {
				store.ServeHTTP(w, r)
			}
		}))
	}()
	return l.Addr().String()
}

func (f *fleet) addEntry(proxied bool) {
	n := len(f.entries)
	p := &process{f: f, role: "pool-entry", id: fmt.Sprintf("edge-%s-%d", f.zones[n%len(f.zones)], n), front: freeAddr(), bind: freeAddr()}
	p.peer = p.bind
	bind := ""
	if proxied {
		p.proxy = newProxy(p.bind)
		p.peer = p.proxy.addr()
		bind = "bind: " + p.bind + "\n"
	}
	advice := ""
	if f.advice != "" {
		advice = "advice: " + f.advice + "\n"
	}
	p.write("id: %s\ndomain: %s\nlisten: %s\nready: %s\npeer: %s\n%sstore: %s\n%shold: 6000ms\nkeep: 120s\ndrain: 6s\ncores: 0.4\nspeed: 1\nmemory: 284MB\ndescriptors: 4100\nremote: 1.5\nlevel: info\n",
		p.id, f.zones[n%len(f.zones)], p.front, freeAddr(), p.peer, bind, f.serveStore(p.id), advice)
	f.entries = append(f.entries, p)
	p.start()
}

func (f *fleet) addAgent(cpu, mem int64, kind string) { f.addAgentOf(f.service, cpu, mem, kind) }

// addAgentOf adds a worker of a service, with its agent.
func (f *fleet) addAgentOf(service string, cpu, mem int64, kind string) {
	n := len(f.agents)
	zone := f.zones[n%len(f.zones)]
	p := &process{f: f, role: "pool-agent", id: fmt.Sprintf("side-%s-%d", zone, n)}
	w := &worker{f: f, service: service, name: fmt.Sprintf("w%d", n), zone: zone, rack: fmt.Sprintf("r%d", n/3), addr: freeAddr(), agent: freeAddr(), cpu: cpu, mem: mem}
	p.write("id: %s\ndomain: %s\nlisten: %s\nworker: %s\npool: %s\nstore: %s\nhold: 6000ms\nmemory: 152MB\ndescriptors: 4096\nlevel: info\n",
		p.id, zone, w.agent, w.addr, service, f.serveStore(p.id))
	f.agents, f.workers = append(f.agents, p), append(f.workers, w)
	p.start()
	w.boot(kind)
}

func (p *process) write(format string, args ...any) {
	p.conf = filepath.Join(p.f.dir, p.id+".yaml")
	if err := os.WriteFile(p.conf, []byte(fmt.Sprintf(format, args...)), 0o600); err != nil {
		panic(err)
	}
}

// start starts the process, and again after each end.
func (p *process) start() {
	log, err := os.OpenFile(filepath.Join(p.f.dir, p.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	proc, err := os.StartProcess(p.f.program, []string{p.f.program, p.role, p.conf}, &os.ProcAttr{Files: []*os.File{nil, log, log}})
	_ = log.Close()
	if err != nil {
		p.f.fatal("%s doesn't start: %v", p.id, err)
	}
	done := make(chan struct{})
	p.f.mu.Lock()
	if p.stopped { // the play has ended meanwhile
		p.f.mu.Unlock()
		_ = proc.Kill()
		_, _ = proc.Wait()
		return
	}
	p.proc, p.done, p.expected = proc, done, false
	p.f.note("process %s starts", p.id)
	p.f.mu.Unlock()
	go func() {
		state, _ := proc.Wait()
		close(done)
		p.f.mu.Lock()
		if !p.expected && !p.stopped {
			p.ends++
			p.f.note("%s ENDED BY ITSELF: %v; %s", p.id, state, p.lastWords())
		}
		p.f.note("process %s ended: %v", p.id, state)
		p.f.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		p.f.mu.Lock()
		stopped := p.stopped
		p.f.mu.Unlock()
		if !stopped {
			p.start()
		}
	}()
}

// lastWords returns the line of the log that says why the process ended, if there is one.
func (p *process) lastWords() string {
	for _, word := range []string{"panic:", "fatal error:"} {
		if lines := p.f.logs(p.id, word); len(lines) > 0 {
			return strings.TrimSpace(lines[len(lines)-1])
		}
	}
	return ""
}

func (p *process) signal(s os.Signal, ends bool) {
	p.f.mu.Lock()
	p.expected = p.expected || ends
	proc := p.proc
	p.f.note("%s gets %v", p.id, s)
	p.f.mu.Unlock()
	_ = proc.Signal(s)
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	procs, ends := []*os.Process{}, []chan struct{}{}
	for _, p := range slices.Concat(f.entries, f.agents) {
		p.stopped = true
		if p.proc != nil {
			procs, ends = append(procs, p.proc), append(ends, p.done)
		}
	}
	f.mu.Unlock()
	for n := range procs {
		_ = procs[n].Kill()
		<-ends[n]
	}
	time.Sleep(100 * time.Millisecond) // a process that was just being started is ended by start
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", f.dir)
	}
}

// logs returns the lines of a process's log that contain some text.
func (f *fleet) logs(id, text string) []string {
	raw, err := os.ReadFile(filepath.Join(f.dir, id+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// owner returns the entry that owns the pools, as far as its log says.
func (f *fleet) owner() *process {
	var owner *process
	raw := ""
	for _, item := range f.readOwner() {
		raw = item
	}
	for _, p := range f.entries {
		if raw != "" && strings.Contains(raw, p.id) {
			owner = p
		}
	}
	return owner
}

// member is a run of a gang at its worker.
type member struct {
	at  *worker
	run *run
}

// gang returns the runs of the gang of a run.
func (f *fleet) gang(r *run) []member {
	var list []member
	for _, w := range f.workers {
		for _, other := range w.sorted() {
			if other.attempt == r.attempt && other.step == r.step && stepName(other.task) == stepName(r.task) {
				list = append(list, member{w, other})
			}
		}
	}
	return list
}

// breakGang ends the other members of the gang of a run that has ended, once they work.
func (f *fleet) breakGang(r *run) {
	if !r.step.Gang {
		return
	}
	for _, m := range f.gang(r) {
		if !m.run.workFrom.IsZero() {
			m.at.finishQuietly(m.run, "broken")
		}
	}
}
