package kv

import "errors"

var (
	// ErrFull means that the request was not applied because MaxKeys or MaxSessions is reached.
	ErrFull = errors.New("store is full")
	// ErrSessionNotFound means that the session does not exist, for instance because it has
	// expired. The error does not tell whether an earlier attempt of the request was applied.
	ErrSessionNotFound = errors.New("no such session")
	// ErrStaleRequest means that a request of the session with a higher number was applied, and no
	// response to this request is cached. The request was not applied now, but may have been before.
	ErrStaleRequest = errors.New("request number is too old")
	// ErrFenced means that the request was not applied because a lease is not held under the
	// fencing token that the request names.
	ErrFenced = errors.New("lease is not held under this token")
	// ErrRestoring means that the request was not applied because a backup is being restored.
	ErrRestoring = errors.New("store is being restored from a backup")
	// ErrInvalidRequest means that the request exceeds a limit or is malformed.
	ErrInvalidRequest = errors.New("bad request")
)
