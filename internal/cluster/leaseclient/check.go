package leaseclient

import (
	"context"
	"errors"
	"net/http"
	"time"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

const checkAttemptTimeout = 500 * time.Millisecond // timeout of one request that Check sends to a node

// Check asks the store whether the lease is still held under this token. A holder that stopped because no
// keep-alive was answered calls it to report the cause; a nil result does not allow the holder to act again.
// Check returns ErrLost if the lease is revoked, has expired or has another holder. It retries until the store
// answers or ctx ends; if ctx ends, the lease's state is unknown.
func (l *Lease) Check(ctx context.Context) error {
	return l.manager.callUntilFinal(ctx, func(node *storeclient.Client) (bool, error) {
		held, err := l.isHeld(ctx, node)
		if err == nil && !held {
			return true, l.lostError()
		}
		return err == nil || isRejected(err), err
	})
}

// isHeld asks one node whether the lease is held under its token and not revoked.
func (l *Lease) isHeld(ctx context.Context, node *storeclient.Client) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, checkAttemptTimeout)
	defer cancel()
	status, err := node.GetLease(ctx, l.Name)
	if isFree(err) {
		return false, nil
	}
	return status.Token == l.Token && !status.Revoked, err
}

// isFree reports whether an error is the store's answer for a lease that has no holder.
func isFree(err error) bool {
	var status *storeapi.StatusError
	return errors.As(err, &status) && status.StatusCode == http.StatusNotFound
}
