package frontend

// CallPathPrefix precedes the name of a class in the path of a request.
const CallPathPrefix = "/call/"

// healthCheckPath is the path of a health check.
const healthCheckPath = "/ping"

// Headers of a request. Only this file contains the protocol's names.
const (
	HeaderTraceID        = "Trace-Id"       // 16 hex digits, different for each attempt
	headerAcceptedAt     = "Accepted-At-Ms" // arrival time at the machine, Unix milliseconds
	headerBalancerNumber = "Client-No"      // number of the balancer; validated but not used
	headerIsRetry        = "Is-Retry"       // "1" marks a retry or a hedged request
	headerExpectedWork   = "Expected-Ms"    // expected work on one core, milliseconds
	headerMemory         = "Reserve-Kb"     // memory reserved for the request, kB
	headerRank           = "Standing"       // rank, at least 0 and less than 1
	headerLookupKey      = "Lookup-Key"     // subject of a read; absent from writes
	headerIdempotencyKey = "Replay-Key"     // idempotency key of a deduplicated class
	headerTenant         = "Project"        // tenant, at sites with tenants
	headerTimeout        = "Max-Wait-Ms"    // the caller's timeout, milliseconds since arrival
)

// Headers of a response.
const (
	headerRetryAfter       = "Hold-Off-Ms"     // on a rejection: the earliest retry, in milliseconds
	headerNoOtherServer    = "No-Other-Server" // on a rejection: "1" asks the caller not to retry at another server
	headerAdvertisedValue  = "Feedback"        // the value that the admission controller advertises
	headerNoOtherServerSet = "1"
)

// Header is a header of a response.
type Header struct{ Name, Value string }
