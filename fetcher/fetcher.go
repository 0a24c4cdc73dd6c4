// Package fetcher reads HTTP replies whose size is not known beforehand. A reply is
// given up when its server is silent, not when it takes long: on a slow link a large reply
// takes longer than any silence that is worth waiting for, and a retry starts from its
// first byte again.
package fetcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Errors of Do.
var (
	// ErrSilent reports that the server sent nothing for too long.
	ErrSilent = errors.New("server is silent")
	// ErrTooLarge reports that the reply is larger than Limits.MaxBytes.
	ErrTooLarge = errors.New("reply is too large")
)

// readBytes is the size of the buffer for one read.
const readBytes = 32 << 10

// Limits bounds a reply.
type Limits struct {
	// HeadBy is when the head of the reply has to be there.
	HeadBy time.Time
	// Silence is how long nothing may arrive after that, until the reply is complete.
	Silence time.Duration
	// MaxBytes bounds the body.
	MaxBytes int
}

// Reply is a complete reply.
type Reply struct {
	Code   int    // HTTP status code
	Status string // HTTP status line, such as "200 OK"
	Header http.Header
	Body   []byte
}

// Do sends a request through send, such as the Do of an http.Client, and reads its reply
// within limits and within the deadline of the request's context. Its errors are those of
// send, ErrSilent and ErrTooLarge.
func Do(send func(*http.Request) (*http.Response, error), req *http.Request, limits Limits) (*Reply, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(limits.HeadBy), func() { cancel(ErrSilent) })
	defer timer.Stop()
	resp, err := send(req.WithContext(ctx))
	if err != nil {
		return nil, withCause(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	chunk := make([]byte, readBytes)
	for {
		timer.Reset(limits.Silence)
		n, err := resp.Body.Read(chunk)
		body.Write(chunk[:n])
		switch {
		case body.Len() > limits.MaxBytes:
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limits.MaxBytes)
		case errors.Is(err, io.EOF):
			return &Reply{Code: resp.StatusCode, Status: resp.Status, Header: resp.Header, Body: body.Bytes()}, nil
		case err != nil:
			return nil, fmt.Errorf("after %d bytes of the reply: %w", body.Len(), withCause(ctx, err))
		}
	}
}

// withCause adds the reason for which ctx was canceled to the error of a call.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrSilent) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
