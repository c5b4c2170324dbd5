package kv

import "errors"

var (
	// ErrFull means that nothing was done, as MaxKeys or MaxSessions is reached.
	ErrFull = errors.New("store is full")
	// ErrSessionNotFound means that the session does not exist any more. Whether an earlier
	// request of it was carried out is not known from this.
	ErrSessionNotFound = errors.New("no such session")
	// ErrStaleRequest means that a later request of the session was carried out, and the response
	// to this one, if there was one, is not cached any more. Nothing was done now.
	ErrStaleRequest = errors.New("request number is too old")
	// ErrFenced means that nothing was done, as a lease is not held under the token.
	ErrFenced = errors.New("lease is not held under this token")
	// ErrRestoring means that nothing was done, as a backup is being restored.
	ErrRestoring = errors.New("store is being restored from a backup")
	// ErrInvalidRequest means that the request breaks a limit or is malformed.
	ErrInvalidRequest = errors.New("bad request")
)
