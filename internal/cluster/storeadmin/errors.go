package storeadmin

import (
	"errors"
	"net/http"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/maintenance/controller"
)

// errTooManyRequests means that maxForwards or maxLeaseRequests is reached.
var errTooManyRequests = errors.New("too many requests wait here")

// retryAfterSeconds is the Retry-After of each answer of 503.
const retryAfterSeconds = "1"

// statusCodes maps errors to status codes; the first match counts. Any other error is 503: a
// retry may help.
var statusCodes = []struct {
	err  error
	code int
}{
	{kv.ErrInvalidRequest, http.StatusBadRequest},
	{lease.ErrInvalidRequest, http.StatusBadRequest},
	{maintenance.ErrInvalidOrder, http.StatusBadRequest},
	{kv.ErrSessionNotFound, http.StatusGone},
	{lease.ErrNotHolder, http.StatusGone},
	{store.ErrMemberRejected, http.StatusForbidden},
	{store.ErrMemberNotFound, http.StatusNotFound},
	{controller.ErrOrderNotFound, http.StatusNotFound},
	{kv.ErrFenced, http.StatusPreconditionFailed},
	{kv.ErrStaleRequest, http.StatusConflict},
	{lease.ErrWaiterNotFound, http.StatusConflict},
	{maintenance.ErrWrongPhase, http.StatusConflict},
	{kv.ErrFull, http.StatusInsufficientStorage},
}

// httpError is an error with a status code of its own, whatever it wraps.
type httpError struct {
	code int
	err  error
}

func (e *httpError) Error() string { return e.err.Error() }
func (e *httpError) Unwrap() error { return e.err }

// withStatus returns an error with a status code of its own.
func withStatus(code int, err error) error { return &httpError{code, err} }

// unavailable returns an error that is answered with 503.
func unavailable(err error) error { return withStatus(http.StatusServiceUnavailable, err) }

func statusCodeOf(err error) int {
	var withCode *httpError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	for _, known := range statusCodes {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return http.StatusServiceUnavailable
}

// writeError answers with an error's status code and text.
func writeError(w http.ResponseWriter, err error) {
	code := statusCodeOf(err)
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	http.Error(w, err.Error(), code)
}
