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

// errTooManyRequests means that maxForwards or maxLeaseWaits has been reached.
var errTooManyRequests = errors.New("too many requests wait here")

// retryAfterSeconds is the Retry-After of each 503 response.
const retryAfterSeconds = "1"

// statusCodes maps errors to status codes; the first match applies. Any other error maps to 503, since a
// retry may succeed.
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

// httpError is an error with an explicit status code, which takes precedence over statusCodes.
type httpError struct {
	code int
	err  error
}

func (e *httpError) Error() string { return e.err.Error() }
func (e *httpError) Unwrap() error { return e.err }

// withStatus returns an error with an explicit status code.
func withStatus(code int, err error) error { return &httpError{code, err} }

// unavailable returns an error with status code 503.
func unavailable(err error) error { return withStatus(http.StatusServiceUnavailable, err) }

func statusCodeOf(err error) int {
	var explicit *httpError
	if errors.As(err, &explicit) {
		return explicit.code
	}
	for _, mapping := range statusCodes {
		if errors.Is(err, mapping.err) {
			return mapping.code
		}
	}
	return http.StatusServiceUnavailable
}

// writeError responds with an error's status code and text.
func writeError(w http.ResponseWriter, err error) {
	code := statusCodeOf(err)
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	http.Error(w, err.Error(), code)
}
