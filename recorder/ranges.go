package recorder

import "sort"

// Ranges is a set of task indexes, stored as sorted half-open ranges that neither
// overlap nor touch.
type Ranges [][2]int

// Has reports whether i is in the set.
func (r Ranges) Has(i int) bool {
	pos := sort.Search(len(r), func(n int) bool { return r[n][1] > i })
	return pos < len(r) && r[pos][0] <= i
}

// Add returns the set with the range [from, to) added.
func (r Ranges) Add(from, to int) Ranges {
	if from >= to {
		return r
	}
	out := make(Ranges, 0, len(r)+1)
	for i, rng := range r {
		switch {
		case rng[1] < from:
			out = append(out, rng)
		case rng[0] > to:
			out = append(out, [2]int{from, to})
			return append(out, r[i:]...)
		default:
			from, to = min(from, rng[0]), max(to, rng[1])
		}
	}
	return append(out, [2]int{from, to})
}

// Sub returns the set with the range [from, to) removed.
func (r Ranges) Sub(from, to int) Ranges {
	out := make(Ranges, 0, len(r)+1)
	for _, rng := range r {
		if left := [2]int{rng[0], min(rng[1], from)}; left[0] < left[1] {
			out = append(out, left)
		}
		if right := [2]int{max(rng[0], to), rng[1]}; right[0] < right[1] {
			out = append(out, right)
		}
	}
	return out
}

// Count returns the number of indexes in the set.
func (r Ranges) Count() int {
	n := 0
	for _, rng := range r {
		n += rng[1] - rng[0]
	}
	return n
}
