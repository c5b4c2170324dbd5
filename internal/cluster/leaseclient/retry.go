package leaseclient

import (
	"context"
	"errors"
	"time"

	"oxbowbridge/internal/cluster/storeclient"
)

// callUntilFinal calls the nodes in turn until a call reports that its result is final, and returns that
// result. If ctx ends before, it returns the error of ctx joined with the error of the last call.
func (m *Manager) callUntilFinal(ctx context.Context, call func(*storeclient.Client) (final bool, err error)) error {
	for failed := 0; ; failed++ {
		final, err := call(m.node(failed > 0))
		if final {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(m.retryBackoff(failed + 1)):
		}
	}
}

// retryBackoff returns the backoff after a number of failed attempts. It stays short, as the lease's TTL
// elapses during the backoff.
func (m *Manager) retryBackoff(failed int) time.Duration {
	const (
		maxBackoffSteps = 4
		jitter          = 0.5
	)
	return m.client.RetryPolicy.Backoff(min(failed, maxBackoffSteps), jitter)
}
