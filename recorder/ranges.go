package recorder

import "sort"

// Ranges is a set of task numbers, as sorted, disjoint, not touching half-open
// ranges.
type Ranges [][2]int

// Has says whether i is in the set.
func (r Ranges) Has(i int) bool {
	at := sort.Search(len(r), func(n int) bool { return r[n][1] > i })
	return at < len(r) && r[at][0] <= i
}

// Add returns the set with from up to to in it.
func (r Ranges) Add(from, to int) Ranges {
	if from >= to {
		return r
	}
	out := make(Ranges, 0, len(r)+1)
	for i, one := range r {
		switch {
		case one[1] < from:
			out = append(out, one)
		case one[0] > to:
			out = append(out, [2]int{from, to})
			return append(out, r[i:]...)
		default:
			from, to = min(from, one[0]), max(to, one[1])
		}
	}
	return append(out, [2]int{from, to})
}

// Sub returns the set without from up to to.
func (r Ranges) Sub(from, to int) Ranges {
	out := make(Ranges, 0, len(r)+1)
	for _, one := range r {
		if left := [2]int{one[0], min(one[1], from)}; left[0] < left[1] {
			out = append(out, left)
		}
		if right := [2]int{max(one[0], to), one[1]}; right[0] < right[1] {
			out = append(out, right)
		}
	}
	return out
}

// Count returns how many numbers are in the set.
func (r Ranges) Count() int {
	n := 0
	for _, one := range r {
		n += one[1] - one[0]
	}
	return n
}
