package decoder

import (
	"fmt"
	"strconv"
	"strings"
)

// Size is a number of bytes. Its text form has a unit, such as 512MiB or 100GB.
type Size int64

// Units of Size, in bytes.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
	TiB Size = 1 << 40
)

var units = []struct {
	name  string
	bytes float64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
	{"B", 1},
}

// UnmarshalText parses a number with an optional unit.
func (s *Size) UnmarshalText(text []byte) error {
	number := strings.TrimSpace(string(text))
	factor := 1.0
	for _, u := range units {
		if strings.HasSuffix(number, u.name) {
			number, factor = strings.TrimSpace(strings.TrimSuffix(number, u.name)), u.bytes
			break
		}
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil || n < 0 || n*factor > 1<<62 {
		return fmt.Errorf("%q is no size; write a number with a unit, as in 8GiB", text)
	}
	*s = Size(n * factor)
	return nil
}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range []struct {
		name string
		size Size
	}{{"TiB", TiB}, {"TB", 1e12}, {"GiB", GiB}, {"GB", 1e9}, {"MiB", MiB}, {"MB", 1e6}, {"KiB", KiB}, {"KB", 1e3}} {
		if s >= u.size && s%u.size == 0 {
			return fmt.Sprintf("%d%s", s/u.size, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// UnmarshalJSON parses a number of bytes, or a string with a unit.
func (s *Size) UnmarshalJSON(raw []byte) error {
	return s.UnmarshalText([]byte(strings.Trim(string(raw), `"`)))
}
