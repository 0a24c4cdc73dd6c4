package sequencer

// Placement says at which workers the tasks of a job may start, by one version of the
// configuration of its queue.
type Placement struct {
	Pool string `cbor:"1,keyasint"` // service whose workers run the tasks
	// PolicyRestricted is set if the queue's policy allows only some workers. A policy
	// service names them.
	PolicyRestricted bool `cbor:"2,keyasint,omitempty"`
	// Version is that of the configuration; 0 if it is not known.
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// Placement returns the placement by the configuration with which the job was accepted.
func (s *Spec) Placement() Placement {
	return Placement{Pool: s.Pool, PolicyRestricted: s.PolicyRestricted, Version: s.PoolVersion}
}

// Move takes over a placement of a later version, and reports whether tasks may start elsewhere by
// it. What runs goes on where it runs.
func (j *Job) Move(next Placement) bool {
	if next.Version <= j.Placement.Version {
		return false
	}
	last := j.Placement
	j.Placement = next
	return last.Pool != next.Pool || last.PolicyRestricted != next.PolicyRestricted
}

// Of reports whether the job is one of the queue with a name, a host and a prefix: a queue that
// replaces another one at the same place has its jobs, too.
func (s *Spec) Of(queue, path string) bool {
	return s.Queue == queue || s.Path != "" && s.Path == path
}
