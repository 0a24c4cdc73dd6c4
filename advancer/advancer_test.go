package advancer

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSleepIsForFakeTimeOnly(t *testing.T) {
	c := qt.New(t)
	c.Assert(func() { Sleep(time.Nanosecond) }, qt.PanicMatches, "advancer: sleep in real time; .*")
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		Sleep(time.Hour)
		qt.New(t).Assert(time.Since(start), qt.Equals, time.Hour)
	})
}
