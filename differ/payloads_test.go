package differ

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Both ends must drop the same payloads, or a task would be started without its own.
func TestBothEndsKeepTheSamePayloads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := qt.New(t)
		var e PayloadEncoder
		var d PayloadDecoder
		for range rapid.IntRange(0, 3*payloadCapacity).Draw(rt, "starts") {
			job := fmt.Sprint("job", rapid.IntRange(0, 2*payloadCapacity).Draw(rt, "job"))
			omitted, sent := e.Keeps(job), ""
			if !omitted {
				sent = "payload of " + job
			}
			payload, err := d.Restore(job, sent, omitted)
			c.Assert(err, qt.IsNil)
			c.Assert(payload, qt.Equals, "payload of "+job)
			c.Assert(len(d.payloads) <= payloadCapacity, qt.IsTrue)
		}
	})
}

func TestAPayloadThatWasNotReceivedIsNotInvented(t *testing.T) {
	c := qt.New(t)
	var d PayloadDecoder
	_, err := d.Restore("job", "", true)
	c.Assert(err, qt.ErrorIs, ErrOutOfStep)
}
