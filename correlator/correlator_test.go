package correlator

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAnswersFindTheirQuestions(t *testing.T) {
	c := qt.New(t)
	var m Correlator[string]
	got, err := m.Do(context.Background(), nil, func(id uint64) error {
		m.Deliver(id+1, "another's")
		m.Deliver(id, "its own")
		m.Deliver(id, "late")
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "its own")
	c.Assert(m.waiting, qt.HasLen, 0)
}

func TestAQuestionDoesNotOutliveItsConnection(t *testing.T) {
	c := qt.New(t)
	var m Correlator[string]
	done := make(chan struct{})
	close(done)
	_, err := m.Do(context.Background(), done, func(uint64) error { return nil })
	c.Assert(err, qt.ErrorIs, ErrConnClosed)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = m.Do(ctx, nil, func(uint64) error { return nil })
	c.Assert(err, qt.ErrorIs, context.Canceled)
	broken := errors.New("broken")
	_, err = m.Do(context.Background(), nil, func(uint64) error { return broken })
	c.Assert(err, qt.ErrorIs, broken)
	c.Assert(m.waiting, qt.HasLen, 0)
}
