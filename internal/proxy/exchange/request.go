package exchange

import (
	"strings"
	"time"
)

// CloseRaceWindow is the maximum time after the close of a connection in which a request that the
// caller sent before it noticed the close can still arrive. The balancers' protocol defines it; the
// caller resends such a request on another connection.
const CloseRaceWindow = 50 * time.Millisecond

// traceIDLength is the number of hex digits in a trace id.
const traceIDLength = 16

// Request is one attempt of a request, completely read by a frontend. It gets exactly one response.
type Request struct {
	// TraceID identifies this attempt in all protocols; see IsTraceID.
	TraceID string
	// Class is the index of the request's class in the settings.
	Class int
	// ArrivedAt is when the attempt arrived at this machine, possibly before a frontend read it.
	ArrivedAt time.Time
	// Timeout is how long the caller waits, measured from ArrivedAt; 0 if the caller sent no timeout.
	Timeout time.Duration
	// Tenant is the name of the caller's tenant; empty if the caller sent none.
	Tenant string
	// ExpectedWork is the caller's estimate of the work on a standard core; 0 if the caller sent none.
	ExpectedWork time.Duration
	// ReservedKB is the memory that the request needs while it is in flight, in kB.
	ReservedKB float64
	// Rank is the request's rank by the value of its class: at least 0, below 1.
	Rank float64
	// HasLookupKey says that the request has a lookup key, which names the object that it reads.
	HasLookupKey bool
	// IsRetry says that the caller marked this attempt as a retry.
	IsRetry bool
	// IdempotencyKey identifies the request across all of its attempts. It is empty unless the class
	// is deduplicated.
	IdempotencyKey string
	// Body is passed to the runner unchanged.
	Body []byte
	// Responder sends the response.
	Responder Responder
}

// IsTraceID reports whether s is a valid trace id: 16 hex digits, upper or lower case.
func IsTraceID(s string) bool {
	return len(s) == traceIDLength && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// Responder sends the response to one request. Frontends implement it.
type Responder interface {
	// Respond sends the final response, or drops it if the caller's connection is closed.
	Respond(Response)
}

// ResponseKind says what the caller can conclude from a response.
type ResponseKind uint8

const (
	// Succeeded means that the run succeeded.
	Succeeded ResponseKind = iota
	// Rejected means that nothing ran.
	Rejected
	// Failed means that the request may or may not have run.
	Failed
)

// String returns the kind in lower case.
func (k ResponseKind) String() string {
	switch k {
	case Succeeded:
		return "succeeded"
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	}
	return "unknown"
}

// Response is the final response to a request.
type Response struct {
	Kind ResponseKind
	// Body is the unchanged result of the run. It is set only for Succeeded.
	Body []byte
	// RetryAfter is the minimum time that the caller of a Rejected request should wait before a retry
	// at this server; 0 sets no minimum.
	RetryAfter time.Duration
	// NoRetryElsewhere asks the caller of a Rejected request not to retry at another server.
	NoRetryElsewhere bool
	// InvalidRequest says that a Failed request was invalid: a reused trace id or idempotency key, or
	// a trace id that the runner does not know. It counts as an error of the caller's connection.
	InvalidRequest bool
}
