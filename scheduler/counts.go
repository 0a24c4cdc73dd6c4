package scheduler

// Stats sums up the shards that an entry owns.
type Stats struct {
	// Commits and Changes count writes of the ledger and what they carried,
	// since the shards were claimed; Bytes is the size of their last writes.
	Commits, Changes, Bytes int64
	Shards                  int
}

// Stats returns the sums as of now.
func (s *Scheduler) Stats() Stats {
	var sum Stats
	for _, sh := range s.all() {
		commits, changes, size := sh.rec.Stats()
		sum.Commits += commits
		sum.Changes += changes
		sum.Bytes += size
		sum.Shards++
	}
	return sum
}
