package leaseclient

import (
	"context"
	"errors"
	"time"

	"oxbowbridge/internal/cluster/storeclient"
)

// callUntilFinal calls one node after another until a call reports that its result is final, which it
// returns. If ctx ends before, it returns the error of ctx joined with that of the last call.
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

// retryBackoff returns the pause after a number of failed attempts. It stays short, as a lease's time
// runs meanwhile.
func (m *Manager) retryBackoff(failed int) time.Duration {
	const (
		maxBackoffSteps = 4
		jitter          = 0.5
	)
	return m.client.Retry.Backoff(min(failed, maxBackoffSteps), jitter)
}
