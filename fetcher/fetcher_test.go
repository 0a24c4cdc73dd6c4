package fetcher

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/advancer"
)

// slowBody yields one byte after each pause.
type slowBody struct {
	ctx    context.Context
	pauses []time.Duration
}

// Read waits for the next pause, or until the request is canceled.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.pauses[0]):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	b.pauses = b.pauses[1:]
	p[0] = 'x'
	return 1, nil
}

// Close does nothing.
func (b *slowBody) Close() error { return nil }

// replyAfter is a transport whose replies have their head after a time and then a body.
type replyAfter struct {
	head   time.Duration
	pauses []time.Duration
}

// RoundTrip returns the reply.
func (t replyAfter) RoundTrip(req *http.Request) (*http.Response, error) {
	select {
	case <-time.After(t.head):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Body: &slowBody{req.Context(), t.pauses}}, nil
}

func TestAReplyIsGivenUpForSilenceOnly(t *testing.T) {
	repeat := func(pause time.Duration, n int) []time.Duration {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = pause
		}
		return list
	}
	for name, tc := range map[string]struct {
		reply replyAfter
		max   int
		err   error
		took  time.Duration
	}{
		"slow but never silent":   {replyAfter{400 * time.Millisecond, repeat(800*time.Millisecond, 9)}, 9, nil, 7600 * time.Millisecond},
		"no head":                 {replyAfter{time.Hour, nil}, 9, ErrSilent, 500 * time.Millisecond},
		"silent in the body":      {replyAfter{0, []time.Duration{time.Millisecond, time.Hour}}, 9, ErrSilent, 901 * time.Millisecond},
		"larger than the maximum": {replyAfter{0, repeat(time.Millisecond, 9)}, 8, ErrTooLarge, 9 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				req, err := http.NewRequest(http.MethodGet, "http://store.example/", nil)
				c.Assert(err, qt.IsNil)
				started := time.Now()
				reply, err := Do(tc.reply.RoundTrip, req, Limits{HeadBy: started.Add(500 * time.Millisecond), Silence: 900 * time.Millisecond, MaxBytes: tc.max})
				c.Assert(time.Since(started), qt.Equals, tc.took)
				if tc.err != nil {
					c.Assert(err, qt.ErrorIs, tc.err)
					return
				}
				c.Assert(err, qt.IsNil)
				c.Assert(string(reply.Body), qt.Equals, strings.Repeat("x", 9))
			})
		})
	}
}

func TestTheContextBoundsAReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://store.example/", nil)
		c.Assert(err, qt.IsNil)
		transport := replyAfter{0, []time.Duration{time.Second, 1500 * time.Millisecond, time.Second}}
		_, err = Do(transport.RoundTrip, req, Limits{HeadBy: time.Now().Add(time.Second), Silence: 2 * time.Second, MaxBytes: 9})
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		advancer.Sleep(time.Second)
	})
}
