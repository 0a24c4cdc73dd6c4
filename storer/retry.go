package storer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
)

func newBody(raw []byte) io.Reader { return bytes.NewReader(raw) }

// notSent reports whether the request certainly did not reach the store.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Bounds of the delay between attempts in CompareAndSwapRetry.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// CompareAndSwapRetry writes a value that contains a nonce and retries until it is
// known whether the write took effect, or until ctx ends. If ctx ends first, it
// returns ErrUnknownOutcome, or ErrUnavailable or ErrRateLimited if no attempt can
// have taken effect. A lost write is retried with the same version, so that an earlier attempt
// that arrives late can no longer take effect. After a conflict, the nonce shows
// whether the stored value is this one.
func (c *Client) CompareAndSwapRetry(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialRetryDelay, maxRetryDelay
	unknownOutcome := false
	for {
		newVersion, err := c.CompareAndSwap(ctx, key, value, version, lease)
		if unknownOutcome && errors.Is(err, ErrConflict) {
			newVersion, err = c.readBack(ctx, key, value)
		}
		if err == nil || !retryable(err) {
			return newVersion, err
		}
		unknownOutcome = unknownOutcome || errors.Is(err, ErrUnknownOutcome)
		select {
		case <-time.After(delays.NextBackOff()):
		case <-ctx.Done():
			return 0, withUnknownOutcome(unknownOutcome, err)
		}
	}
}

func withUnknownOutcome(unknownOutcome bool, err error) error {
	if unknownOutcome {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return err
}

// errReadBack reports that the value could not be read after a conflict, so the
// outcome of the write is still unknown.
var errReadBack = errors.New("value could not be read back")

func retryable(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrRateLimited) || errors.Is(err, errReadBack)
}

// readBack returns the key's version if the key holds the value, and ErrConflict
// otherwise.
func (c *Client) readBack(ctx context.Context, key string, value []byte) (uint64, error) {
	item, err := c.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return 0, ErrConflict
	case err != nil:
		return 0, fmt.Errorf("%w: %w", errReadBack, err)
	case bytes.Equal(item.Value, value):
		return item.Version, nil
	}
	return 0, ErrConflict
}
