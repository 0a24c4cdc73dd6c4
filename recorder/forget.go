package recorder

import "sort"

// forget drops the oldest ended runs over the number that a shard remembers. A
// run with live grants stays.
func forget(runs map[string]*Run) {
	var ended []*Run
	for _, r := range runs {
		if r.State != Running && len(r.Grants) == 0 {
			ended = append(ended, r)
		}
	}
	if len(ended) <= kept {
		return
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].Ended.Before(ended[j].Ended) })
	for _, r := range ended[:len(ended)-kept] {
		delete(runs, r.ID)
	}
}
