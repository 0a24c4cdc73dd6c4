package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/responder"
	"github.com/endivefall/endivefall/router"
)

// relay passes the answer on. A body that breaks off breaks the caller's
// connection off too, so that it never looks whole.
func (d *Dispatcher) relay(ctx context.Context, w http.ResponseWriter, q *request, t tried, id string, rt *router.Router, start time.Time, record func(ending)) {
	h := w.Header()
	for name, values := range t.answer.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(responder.RequestHeader, q.id)
	h.Set(responder.OutcomeHeader, string(responder.Done))
	if t.answer.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(t.answer.Length, 10))
	}
	q.hangUp(w)
	w.WriteHeader(t.answer.Status)
	stop := context.AfterFunc(ctx, t.stream.Cancel)
	first := &capture{limit: maxReplay}
	n, err := copyFlush(w, io.TeeReader(t.stream, first))
	stop()
	switch {
	case t.answer.Length < 0 || q.r.Method == http.MethodHead:
	case n == t.answer.Length:
		err = nil // whole, even if the caller went before the end was seen here
	case err == nil:
		err = messenger.ErrTruncated
	}
	end := router.Result{Latency: d.cfg.Now().Sub(start), Failed: failure(t.answer.Status)}
	if last := t.stream.PeerEnd(); last != nil {
		end.Load = &last.Load
	}
	if err != nil {
		t.stream.Cancel()
		end.Failed = ctx.Err() == nil
		rt.Done(id, end)
		record(ending{outcome: responder.Unknown})
		d.note(q, responder.Unknown, "answer-cut-short", start)
		d.cfg.Log.Warn("answer cut short", zap.String("request", q.id), zap.String("target", id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	t.stream.Release()
	rt.Done(id, end)
	record(ending{outcome: responder.Done, status: t.answer.Status, kind: h.Get("Content-Type"), body: first.whole()})
	d.note(q, responder.Done, strconv.Itoa(t.answer.Status), start)
}

// failure says whether a status is the target's own fault.
func failure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// copyFlush copies and flushes after each read, so that a slow answer is seen
// as it comes.
func copyFlush(w http.ResponseWriter, from io.Reader) (int64, error) {
	flush := http.NewResponseController(w)
	buf := make([]byte, messenger.MaxChunk)
	var total int64
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return total, werr
			}
			total += int64(n)
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		if n > 0 && n < len(buf) {
			_ = flush.Flush()
		}
	}
}

// capture keeps the first bytes that pass.
type capture struct {
	buf   bytes.Buffer
	limit int
	over  bool
}

func (c *capture) Write(p []byte) (int, error) {
	if c.buf.Len()+len(p) > c.limit {
		c.over = true
	}
	if !c.over {
		c.buf.Write(p)
	}
	return len(p), nil
}

// whole returns all that passed, or nil when that was too much.
func (c *capture) whole() []byte {
	if c.over {
		return nil
	}
	return c.buf.Bytes()
}
