package advancer

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSleepIsForFakeTimeOnly(t *testing.T) {
	c := qt.New(t)
	c.Assert(func() { Sleep(time.Nanosecond) }, qt.PanicMatches, "dreamer: .*")
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		Sleep(time.Hour)
		qt.New(t).Assert(time.Since(began), qt.Equals, time.Hour)
	})
}
