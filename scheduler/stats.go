package scheduler

// Stats holds the totals of the shards that an entry owns.
type Stats struct {
	// Commits and Changes count ledger commits and the changes in them since
	// the shards were claimed. Bytes is the total size of the last commits.
	Commits, Changes, Bytes int64
	Shards                  int
}

// Stats returns the current totals.
func (s *Scheduler) Stats() Stats {
	var sum Stats
	for _, sh := range s.allShards() {
		commits, changes, size := sh.rec.Stats()
		sum.Commits += commits
		sum.Changes += changes
		sum.Bytes += size
		sum.Shards++
	}
	return sum
}
