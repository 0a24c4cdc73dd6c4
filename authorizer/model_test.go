package authorizer

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// planInterval is the time between two rounds of placement, startDelay that from a start to its arrival.
	planInterval = 10 * time.Millisecond
	startDelay   = 20 * time.Millisecond
)

// load is a backlog, and the service that answers it.
type load struct {
	steps, tasks, workers int
	gang                  bool
	// room is the number of tasks of which each worker can run at once, runTime is that of one.
	room    int
	runTime time.Duration
	// decision, perWorker and validity are the service's. fromCall is set if it counts the validity from the
	// time at which it begins with a query, not from its answer.
	decision, perWorker, validity time.Duration
	fromCall                      bool
	// silent is every how many queries no answer comes; 0 for none.
	silent int
	// helpless is the number of steps that go before the others and never use their tickets.
	helpless int
}

// callTime is what the service needs for a query.
func (l load) callTime(workers int) time.Duration {
	return l.decision + time.Duration(workers)*l.perWorker
}

// model plays a load: one instance, its service, and workers of which every second one may run a step.
type model struct {
	c *qt.C
	l load
	a *Authorizer
	// now is the time since the begin.
	begin, now time.Time
	// tickets has the end of each ticket by its text.
	tickets map[string]time.Time
	events  []event
	busy    time.Time
	running map[string]int
	waiting map[string]int
	queries int
	refused int
}

type event struct {
	at time.Time
	do func()
}

func play(c *qt.C, l load) *model {
	begin := time.Unix(1000, 0)
	m := &model{c: c, l: l, a: New(), begin: begin, now: begin, busy: begin, tickets: map[string]time.Time{}, running: map[string]int{}, waiting: map[string]int{}}
	for n := range l.steps {
		m.waiting[fmt.Sprintf("step-%03d", n)] = l.tasks
	}
	for n := range l.helpless {
		m.waiting[fmt.Sprintf("first-%03d", n)] = l.tasks
	}
	return m
}

func allowed(step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + worker))
	return h.Sum32()>>8%2 == 0
}

func (m *model) at(at time.Time, do func()) {
	m.events = append(m.events, event{at, do})
	slices.SortStableFunc(m.events, func(a, b event) int { return a.at.Compare(b.at) })
}

// left returns how many steps that can use their tickets wait.
func (m *model) left() int { return len(m.waiting) - m.l.helpless }

// until plays until all steps have started, or until the time is over.
func (m *model) until(limit time.Duration) {
	for m.left() > 0 && m.now.Before(m.begin.Add(limit)) {
		m.round()
		m.send()
		next := m.now.Add(planInterval)
		for len(m.events) > 0 && !m.events[0].at.After(next) {
			e := m.events[0]
			m.events = m.events[1:]
			m.now = e.at
			e.do()
		}
		m.now = next
	}
}

// round starts what has tickets, and says for what there is room.
func (m *model) round() {
	m.a.Begin()
	names := make([]string, 0, len(m.waiting))
	for name := range m.waiting {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	for _, name := range names {
		helpless := name < "s"
		if !helpless && m.start(name) {
			continue
		}
		if m.a.Waits(name, m.now) {
			m.a.Want(Want{Step: name, Queue: "q", Tasks: m.waiting[name], Gang: m.l.gang, Workers: m.rooms()}, m.now)
		}
	}
}

func (m *model) rooms() []Worker {
	var list []Worker
	for n := range m.l.workers {
		worker := fmt.Sprintf("w%02d", n)
		list = append(list, Worker{worker, m.l.room - m.running[worker]})
	}
	slices.SortStableFunc(list, func(a, b Worker) int { return cmp.Compare(b.Room, a.Room) })
	return list
}

// start starts the tasks of a step that have a ticket, and reports whether that were all of them.
func (m *model) start(name string) bool {
	if !m.a.HasTickets(name, m.now) {
		return false
	}
	var places []string
	for _, worker := range m.rooms() {
		for range worker.Room {
			if len(places) < m.waiting[name] && m.a.Granted(name, worker.Incarnation, m.now) {
				places = append(places, worker.Incarnation)
			}
		}
	}
	if m.l.gang && len(places) < m.waiting[name] {
		return false
	}
	m.waiting[name] -= len(places)
	for _, worker := range places {
		ticket := m.a.Use(name, worker)
		m.running[worker]++
		m.at(m.now.Add(startDelay), func() {
			m.c.Check(allowed(name, worker), qt.IsTrue)
			if m.now.Before(m.tickets[ticket]) {
				m.at(m.now.Add(m.l.runTime), func() { m.running[worker]-- })
				return
			}
			m.refused++
			m.running[worker]--
			m.waiting[name]++
			m.a.Reject(name, worker, m.now)
		})
	}
	if m.waiting[name] > 0 {
		return false
	}
	delete(m.waiting, name)
	return true
}

// send sends what is to be asked next.
func (m *model) send() {
	for {
		query, ok := m.a.Next(m.now)
		if !ok {
			return
		}
		m.queries++
		began := m.now
		if began.Before(m.busy) {
			began = m.busy
		}
		m.busy = began.Add(m.l.callTime(len(query.Workers)))
		answeredAt, expiresAt := m.busy, m.busy.Add(m.l.validity)
		if m.l.fromCall {
			expiresAt = began.Add(m.l.validity)
		}
		if m.l.silent > 0 && m.queries%m.l.silent == 0 {
			m.at(m.now.Add(10*time.Second), func() { m.a.Fail(query, m.now) })
			continue
		}
		m.at(answeredAt, func() {
			var grants []Grant
			for _, worker := range query.Workers {
				if allowed(query.Step, worker) {
					ticket := fmt.Sprint(query.Step, worker, m.now)
					m.tickets[ticket] = expiresAt
					grants = append(grants, Grant{worker, ticket})
				}
			}
			m.a.Answer(query, grants, m.l.validity, m.now)
			m.send()
		})
	}
}

// A backlog never cleared: answers waited behind each other until their tickets were over, and the steps that
// had been asked about kept the others from being asked about at all.
func TestABacklogTakesAboutOneQueryAStep(t *testing.T) {
	const ms = time.Millisecond
	usual := load{steps: 40, tasks: 2, workers: 11, room: 32, runTime: 400 * ms, decision: 120 * ms, perWorker: 10 * ms, validity: 3000 * ms}
	with := func(change func(*load)) load {
		l := usual
		change(&l)
		return l
	}
	for name, l := range map[string]load{
		"as seen":              usual,
		"30 workers":           with(func(l *load) { l.workers, l.decision = 30, 80*ms }),
		"a long backlog":       with(func(l *load) { l.steps, l.decision = 400, 40*ms }),
		"wide steps":           with(func(l *load) { l.tasks, l.workers = 160, 60 }),
		"little room":          with(func(l *load) { l.room, l.tasks = 2, 4 }),
		"gangs":                with(func(l *load) { l.gang, l.tasks = true, 4 }),
		"wide gangs":           with(func(l *load) { l.gang, l.tasks, l.room, l.workers = true, 12, 4, 30 }),
		"short tickets":        with(func(l *load) { l.validity, l.steps = 500*ms, 10 }),
		"from the call":        with(func(l *load) { l.fromCall = true }),
		"short from the call":  with(func(l *load) { l.fromCall, l.validity = true, 500*ms }),
		"long queries":         with(func(l *load) { l.steps, l.workers, l.decision, l.perWorker = 6, 30, 300*ms, 100*ms }),
		"long, from the call":  with(func(l *load) { l.steps, l.workers, l.decision, l.perWorker, l.fromCall = 6, 30, 300*ms, 100*ms, true }),
		"as long as a ticket":  with(func(l *load) { l.steps, l.decision, l.validity = 6, 900*ms, 900*ms }),
		"steps that can't run": with(func(l *load) { l.helpless, l.validity = 30, 1000*ms }),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := play(c, l)
			oneEach := time.Duration(l.steps) * l.callTime(l.workers)
			m.until(10 * oneEach)
			took := m.now.Sub(m.begin)
			t.Logf("took %v of %v, %d queries, %d refused", took, oneEach, m.queries, m.refused)
			c.Check(m.left(), qt.Equals, 0)
			limit := oneEach*3/2 + time.Second
			if l.helpless > 0 {
				limit *= 2 // they have half of the service's time at most
			}
			c.Check(took <= limit, qt.IsTrue)
		})
	}
}

// A step that can't use its tickets was asked about as often as they ran out.
func TestUnusedTicketsAreRenewedLessAndLessOften(t *testing.T) {
	c := qt.New(t)
	a, now, queries := New(), time.Unix(1000, 0), 0
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(planInterval) {
		a.Begin()
		if a.Waits("s", now) {
			a.Want(Want{Step: "s", Queue: "q", Tasks: 1, Workers: []Worker{{"w", 1}}}, now)
		}
		if query, ok := a.Next(now); ok {
			queries++
			now = now.Add(100 * time.Millisecond)
			a.Answer(query, []Grant{{"w", "t"}}, 200*time.Millisecond, now)
		}
	}
	c.Check(queries <= 15, qt.IsTrue, qt.Commentf("%d", queries))
}

// Each round looked at the workers of all waiting steps.
func TestALongBacklogWithoutRoomLetsOthersAsk(t *testing.T) {
	c := qt.New(t)
	a, now := New(), time.Unix(1000, 0)
	for range 10 {
		a.Begin()
		looked := 0
		for n := range 300 {
			name := fmt.Sprint("full-", n)
			if a.Waits(name, now) {
				looked++
				a.Want(Want{Step: name, Queue: "q", Tasks: 1}, now)
			}
		}
		c.Check(looked <= 100, qt.IsTrue, qt.Commentf("%d", looked))
		if a.Waits("free", now) {
			a.Want(Want{Step: "free", Queue: "q", Tasks: 1, Workers: []Worker{{"w", 1}}}, now)
		}
		if query, ok := a.Next(now); ok {
			c.Check(query.Step, qt.Equals, "free")
			return
		}
		now = now.Add(planInterval)
	}
	c.Error("the step with room is not asked about")
}

// A query without an answer held a place for ten seconds.
func TestLostAnswersHoldUpNoOtherSteps(t *testing.T) {
	c := qt.New(t)
	m := play(c, load{steps: 20, tasks: 2, workers: 11, room: 32, decision: 120 * time.Millisecond, perWorker: 10 * time.Millisecond, validity: 3 * time.Second, silent: 7})
	m.until(30 * time.Second)
	c.Check(m.left(), qt.Equals, 0)
}
