// Package advancer sleeps in the fake time of tests.
package advancer

import "time"

// minRealYear tells real time from the clock of a synctest bubble, which starts in
// the year 2000.
const minRealYear = 2020

// Sleep sleeps in the fake time of a synctest bubble. It panics in real time, where
// a test must wait for an event instead.
func Sleep(d time.Duration) {
	if time.Now().Year() >= minRealYear {
		panic("advancer: sleep in real time; wait for an event instead")
	}
	time.Sleep(d)
}
