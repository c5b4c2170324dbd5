package exchange

import (
	"strings"
	"time"
)

// CloseRaceWindow is how long a request may take to cross the close of its connection, by the
// protocol of the balancers: the caller sends it again elsewhere.
const CloseRaceWindow = 50 * time.Millisecond

// traceIDLength is the length of a trace id in hex digits.
const traceIDLength = 16

// Request is one attempt of a request that a frontend has read completely. It gets one
// response.
type Request struct {
	// TraceID names this attempt in all protocols; see IsTraceID.
	TraceID string
	// Class is the index of the request's class in the settings.
	Class int
	// ArrivedAt is when the attempt came to this machine, maybe before it was read.
	ArrivedAt time.Time
	// Timeout is how long the caller waits, counted from ArrivedAt; 0 if it does not say.
	Timeout time.Duration
	// Tenant names the caller's tenant; empty if the caller does not say.
	Tenant string
	// ExpectedWork is the caller's estimate of the work on a standard core; 0 if there is none.
	ExpectedWork time.Duration
	// ReservedKB is the memory that the request takes while it is in flight, in kB.
	ReservedKB float64
	// Rank orders requests by their class's value: at least 0, below 1.
	Rank float64
	// HasLookupKey says that the request names a subject.
	HasLookupKey bool
	// IsRetry says that the caller marked this attempt as a later one.
	IsRetry bool
	// IdempotencyKey names the request in all of its attempts. Only requests of
	// deduplicated classes have one.
	IdempotencyKey string
	// Body is passed to the runner unchanged.
	Body []byte
	// Responder takes the response.
	Responder Responder
}

// IsTraceID tells whether s may name an attempt: 16 hex digits, of either case.
func IsTraceID(s string) bool {
	return len(s) == traceIDLength && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// Responder is a frontend's side of one request.
type Responder interface {
	// Respond sends the final response, or drops it if the caller is gone.
	Respond(Response)
}

// ResponseKind says what a response promises.
type ResponseKind uint8

const (
	// Succeeded is the response of a run that ended well.
	Succeeded ResponseKind = iota
	// Rejected promises that nothing was run.
	Rejected
	// Failed promises nothing: the request may have run.
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
	// Body is the result of a run, unchanged. Only Succeeded has one.
	Body []byte
	// RetryAfter asks the caller of a Rejected request to stay away for so long; 0 asks
	// nothing.
	RetryAfter time.Duration
	// NoRetryElsewhere asks the caller of a Rejected request not to try another server.
	NoRetryElsewhere bool
	// InvalidRequest says of a Failed request that it can't be what it claims to be. It
	// counts as a fault of the caller's connection.
	InvalidRequest bool
}
