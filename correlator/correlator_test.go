package correlator

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRepliesReachTheirRequests(t *testing.T) {
	c := qt.New(t)
	var correlator Correlator[string]
	got, err := correlator.Do(context.Background(), nil, func(id uint64) error {
		correlator.Deliver(id+1, "another's")
		correlator.Deliver(id, "its own")
		correlator.Deliver(id, "late")
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "its own")
	c.Assert(correlator.pending, qt.HasLen, 0)
}

func TestRequestEndsWithItsConnection(t *testing.T) {
	c := qt.New(t)
	var correlator Correlator[string]
	done := make(chan struct{})
	close(done)
	_, err := correlator.Do(context.Background(), done, func(uint64) error { return nil })
	c.Assert(err, qt.ErrorIs, ErrConnClosed)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = correlator.Do(ctx, nil, func(uint64) error { return nil })
	c.Assert(err, qt.ErrorIs, context.Canceled)
	errSend := errors.New("broken")
	_, err = correlator.Do(context.Background(), nil, func(uint64) error { return errSend })
	c.Assert(err, qt.ErrorIs, errSend)
	c.Assert(correlator.pending, qt.HasLen, 0)
}
