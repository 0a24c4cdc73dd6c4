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

// relayResponse streams the target's response to the caller. If the body is
// truncated, it aborts the caller's connection too, so that the caller never
// takes the body for complete.
func (d *Dispatcher) relayResponse(ctx context.Context, w http.ResponseWriter, q *request, attempt attemptResult, id string, rt *router.Router, start time.Time, onEnd func(requestResult)) {
	h := w.Header()
	for name, values := range attempt.response.Header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.Set(responder.RequestHeader, q.id)
	h.Set(responder.OutcomeHeader, string(responder.Done))
	if attempt.response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(attempt.response.Length, 10))
	}
	q.closeIfUnread(w)
	w.WriteHeader(attempt.response.Status)
	stop := context.AfterFunc(ctx, attempt.stream.Cancel)
	recorded := &capture{limit: maxRecordedBytes}
	n, err := copyFlush(w, io.TeeReader(attempt.stream, recorded))
	stop()
	switch {
	case attempt.response.Length < 0 || q.r.Method == http.MethodHead:
	case n == attempt.response.Length:
		err = nil // complete, even if the caller disconnected before the end was read
	case err == nil:
		err = messenger.ErrTruncated
	}
	result := router.Result{Latency: d.cfg.Now().Sub(start), Failed: isTargetFailure(attempt.response.Status)}
	if end := attempt.stream.PeerEnd(); end != nil {
		result.Load = &end.Load
	}
	if err != nil {
		attempt.stream.Cancel()
		result.Failed = ctx.Err() == nil
		rt.Done(id, result)
		onEnd(requestResult{outcome: responder.Unknown})
		d.recordOutcome(q, responder.Unknown, "answer-cut-short", start)
		d.cfg.Log.Warn("answer cut short", zap.String("request", q.id), zap.String("target", id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	attempt.stream.Release()
	rt.Done(id, result)
	onEnd(requestResult{outcome: responder.Done, status: attempt.response.Status, contentType: h.Get("Content-Type"), body: recorded.contents()})
	d.recordOutcome(q, responder.Done, strconv.Itoa(attempt.response.Status), start)
}

// isTargetFailure reports whether a status means that the target itself failed.
func isTargetFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// copyFlush copies r to w. It flushes after each read that does not fill the
// buffer, so that the caller sees a slow response as it arrives.
func copyFlush(w http.ResponseWriter, r io.Reader) (int64, error) {
	controller := http.NewResponseController(w)
	buf := make([]byte, messenger.MaxChunkBytes)
	var total int64
	for {
		n, err := r.Read(buf)
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
			_ = controller.Flush()
		}
	}
}

// capture stores what is written to it, up to limit bytes.
type capture struct {
	buf        bytes.Buffer
	limit      int
	overflowed bool
}

func (c *capture) Write(p []byte) (int, error) {
	if c.buf.Len()+len(p) > c.limit {
		c.overflowed = true
	}
	if !c.overflowed {
		c.buf.Write(p)
	}
	return len(p), nil
}

// contents returns everything that was written, or nil if it exceeded the limit.
func (c *capture) contents() []byte {
	if c.overflowed {
		return nil
	}
	return c.buf.Bytes()
}
