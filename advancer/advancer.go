// Package advancer waits in the fake time of tests.
package advancer

import "time"

// fakeYears is when the clock of a synctest bubble stands: it begins in 2000.
const fakeYears = 2020

// Sleep waits in the fake time of a synctest bubble. It panics elsewhere: a test
// in real time waits for an event.
func Sleep(d time.Duration) {
	if time.Now().Year() >= fakeYears {
		panic("dreamer: sleep in real time; wait for the event")
	}
	time.Sleep(d)
}
