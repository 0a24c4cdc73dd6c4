package recorder

import "sort"

// pruneEndedRuns deletes the oldest ended runs beyond maxEndedRuns. Runs with live
// grants are kept.
func pruneEndedRuns(runs map[string]*Run) {
	var ended []*Run
	for _, r := range runs {
		if r.State != Running && len(r.Grants) == 0 {
			ended = append(ended, r)
		}
	}
	if len(ended) <= maxEndedRuns {
		return
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].Ended.Before(ended[j].Ended) })
	for _, r := range ended[:len(ended)-maxEndedRuns] {
		delete(runs, r.ID)
	}
}
