package elector

import "time"

// ping is the last ping of a process of an entry.
type ping struct {
	incarnation string
	at          time.Time
}
