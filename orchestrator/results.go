package orchestrator

// results are those of the runs of a step under this owner.
type results struct {
	// failedOn has the agents on whose workers a run failed.
	failedOn map[string]bool
	// succeeded is set once a run has finished or has made progress.
	succeeded bool
}

// recordFailure records a run that failed on the worker of an agent, and reports whether
// that is evidence against the worker. It is none if the step has worked on no worker and
// has failed on another one, too.
func (r *results) recordFailure(agent string) bool {
	r.failedOn[agent] = true
	return r.succeeded || len(r.failedOn) == 1
}

// resultsOf returns the results of a step of the job.
func (j *job) resultsOf(step int) *results {
	if j.results[step] == nil {
		j.results[step] = &results{failedOn: map[string]bool{}}
	}
	return j.results[step]
}
