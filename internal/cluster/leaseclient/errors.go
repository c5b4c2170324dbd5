package leaseclient

import (
	"errors"
	"net/http"

	"oxbowbridge/internal/cluster/storeapi"
)

var (
	// ErrExpired ends the context of a lease that could not be kept alive in time.
	ErrExpired = errors.New("lease could not be kept alive in time")
	// ErrLost ends the context of a lease that the store says this process does not hold any more.
	ErrLost = errors.New("lease is lost")
	// ErrReleased ends the context of a lease that was given back.
	ErrReleased = errors.New("lease was given back")
	// ErrAlreadyHeld refuses a lease that this process holds, or waits for, already.
	ErrAlreadyHeld = errors.New("this process has the lease already")
)

// isRejected reports whether the store has refused a request in a way that a retry does not change.
func isRejected(err error) bool {
	var status *storeapi.StatusError
	return errors.As(err, &status) && status.StatusCode < http.StatusInternalServerError
}

// isNotHeld reports whether the store says that a lease is not held under the token any more.
func isNotHeld(err error) bool {
	var status *storeapi.StatusError
	return errors.As(err, &status) && status.StatusCode == http.StatusGone
}
