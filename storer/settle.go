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

// notSent says whether the request surely never reached the store.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Bounds of the waits between tries to settle a write.
const (
	firstWait = 50 * time.Millisecond
	lastWait  = 2 * time.Second
)

// CompareAndSwapRetry writes a value that holds a nonce, and does not return before it is
// known whether the write took effect, or ctx ends (then ErrUnsettled or
// ErrDown). A lost write is repeated with the same version, so that a first
// one that arrives late can no longer take effect; the nonce tells in a
// conflict whether the value that stands is this one.
func (k *Client) CompareAndSwapRetry(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstWait, lastWait
	doubt := false
	for {
		got, err := k.CompareAndSwap(ctx, key, value, version, lease)
		if doubt && errors.Is(err, ErrConflict) {
			got, err = k.standing(ctx, key, value)
		}
		if err == nil || !retriable(err) {
			return got, err
		}
		doubt = doubt || errors.Is(err, ErrUnknownOutcome)
		select {
		case <-time.After(wait.NextBackOff()):
		case <-ctx.Done():
			return 0, unsettled(doubt, err)
		}
	}
}

func unsettled(doubt bool, err error) error {
	if doubt {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return err
}

// errUnread says that the read which settles a write failed; it leaves the
// write unsettled.
var errUnread = errors.New("value could not be read back")

func retriable(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrRateLimited) || errors.Is(err, errUnread)
}

// standing reads the key back after a conflict.
func (k *Client) standing(ctx context.Context, key string, value []byte) (uint64, error) {
	item, err := k.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return 0, ErrConflict
	case err != nil:
		return 0, fmt.Errorf("%w: %w", errUnread, err)
	case bytes.Equal(item.Value, value):
		return item.Version, nil
	}
	return 0, ErrConflict
}
