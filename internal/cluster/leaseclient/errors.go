package leaseclient

import (
	"errors"
	"net/http"

	"oxbowbridge/internal/cluster/storeapi"
)

var (
	// ErrExpired is the cause if a lease's context ends because no keep-alive was answered in time.
	ErrExpired = errors.New("lease could not be kept alive in time")
	// ErrLost is the cause if a lease's context ends because the store reports that this process no longer
	// holds the lease.
	ErrLost = errors.New("lease is lost")
	// ErrReleased is the cause if a lease's context ends because the lease was released.
	ErrReleased = errors.New("lease was released")
	// ErrAlreadyHeld means that this process already holds the lease or waits for it.
	ErrAlreadyHeld = errors.New("this process already holds or requests the lease")
)

// isRejected reports whether the store has rejected a request with a status below 500, so that a retry is futile.
func isRejected(err error) bool {
	var status *storeapi.StatusError
	return errors.As(err, &status) && status.StatusCode < http.StatusInternalServerError
}

// isNotHeld reports whether an error is the store's answer for a lease that is no longer held under the token.
func isNotHeld(err error) bool {
	var status *storeapi.StatusError
	return errors.As(err, &status) && status.StatusCode == http.StatusGone
}
