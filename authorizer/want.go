package authorizer

import "time"

// spareWorkers is how many workers a query names beyond those that are expected to suffice.
const spareWorkers = 2

// Want says which workers would start tasks of a step if it had tickets.
type Want struct {
	Step, Queue string
	// Tasks is how many of its tasks wait. Gang is set if all of them start at once, or none.
	Tasks int
	Gang  bool
	// Workers are those that may receive its tasks, in the order in which they are preferred.
	Workers []Worker
}

// Worker is a worker with the number of tasks for which it has room now.
type Worker struct {
	Incarnation string
	Room        int
}

// choose returns which workers a query about a step names, how many of them were not asked about before, and
// whether the query serves tasks that have room now. Workers that are known to be allowed go first. Beside
// them so many others are named that the tasks are expected to get room.
func choose(w Want, s *step, q *queue, now time.Time) (named []string, unknown int, hasRoom bool) {
	validAt := now
	if w.Gang {
		validAt = now.Add(q.took) // its tickets have to be valid at one moment
	}
	room, held, possible := 0, 0, 0 // of allowed workers, of those with a ticket, and of all
	var allowed, others []Worker
	for _, worker := range w.Workers {
		switch {
		case s.allowed[worker.Incarnation]:
			room += worker.Room
			if validAt.Before(s.tickets[worker.Incarnation].until) {
				held += worker.Room
			} else {
				allowed = append(allowed, worker)
			}
		case !s.asked[worker.Incarnation]:
			others = append(others, worker)
		default:
			continue // denied
		}
		possible += worker.Room
	}
	hasRoom = possible >= w.Tasks || !w.Gang && possible > 0
	limit := min(q.limit, MaxWorkers)
	if w.Gang {
		limit = min(limit*ageShare, MaxWorkers)
	}
	if !hasRoom {
		named, unknown = nameAhead(w, allowed, others, s, limit, q.share())
		return named, unknown, false
	}
	if !w.Gang || room >= w.Tasks {
		for _, worker := range allowed {
			if held >= w.Tasks || len(named) >= limit {
				break
			}
			if worker.Room > 0 {
				named, held = append(named, worker.Incarnation), held+worker.Room
			}
		}
	} else {
		held = room // the tickets are renewed once there are enough workers
	}
	if held < w.Tasks {
		names := nameOthers(others, w.Tasks-held, limit-len(named), q.share(), func(worker Worker) int { return worker.Room })
		named, unknown = append(named, names...), len(names)
	}
	return named, unknown, true
}

// nameOthers names so many workers that were not asked about that some tasks are expected to get room on
// those that turn out to be allowed, and a few more.
func nameOthers(others []Worker, tasks, limit int, share float64, room func(Worker) int) []string {
	var names []string
	expected, spare := 0.0, spareWorkers
	for _, worker := range others {
		if room(worker) == 0 {
			continue
		}
		if expected >= float64(tasks) {
			spare--
		}
		if len(names) >= limit || spare < 0 {
			break
		}
		names, expected = append(names, worker.Incarnation), expected+share*float64(room(worker))
	}
	return names
}

// nameAhead names the workers of a step that has room on none of them, so that it is known where it may
// start: those that were not asked about. Tickets are renewed if all have run out, to be used as soon as there
// is room.
func nameAhead(w Want, allowed, others []Worker, s *step, limit int, share float64) (named []string, unknown int) {
	named = nameOthers(others, w.Tasks, limit, share, func(Worker) int { return 1 })
	if len(named) > 0 || len(s.tickets) > 0 {
		return named, len(named)
	}
	for _, worker := range allowed[:min(len(allowed), limit, w.Tasks)] {
		named = append(named, worker.Incarnation)
	}
	return named, 0
}
