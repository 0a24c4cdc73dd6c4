package limiter

import (
	"container/list"
	"time"
)

// Body is the account of one request body.
type Body struct {
	startedAt time.Time
	charged   int64
	// position is the place in Bodies.incomplete; nil once the body is complete or has ended.
	position *list.Element
	// Evict is called by the user of Bodies when the body was ended to make room.
	Evict func()
}
