package frontend

// CallPathPrefix precedes the name of a class in the path of a request.
const CallPathPrefix = "/call/"

// healthCheckPath is the path of a health check.
const healthCheckPath = "/ping"

// The fields of a request as the protocol names them. These names appear in no other file.
const (
	HeaderTraceID        = "Trace-Id"       // 16 hex digits, new with every attempt
	headerAcceptedAt     = "Accepted-At-Ms" // arrival at the machine, Unix milliseconds
	headerBalancerNumber = "Client-No"      // number of the balancer; checked and not used
	headerIsRetry        = "Is-Retry"       // "1" marks a retry or a hedged request
	headerExpectedWork   = "Expected-Ms"    // expected work on one core, milliseconds
	headerMemory         = "Reserve-Kb"     // memory reserved for the request, kB
	headerRank           = "Standing"       // rank, from 0 to under 1
	headerSubject        = "Lookup-Key"     // subject of a read; absent in writes
	headerIdempotencyKey = "Replay-Key"     // idempotency key of a deduplicated class
	headerTenant         = "Project"        // tenant, at sites that have tenants
	headerTimeout        = "Max-Wait-Ms"    // how long the caller waits, milliseconds since arrival
)

// The fields of a response as the protocol names them.
const (
	headerRetryAfter       = "Hold-Off-Ms"     // on a rejection: when to come back, milliseconds
	headerNoOtherServer    = "No-Other-Server" // on a rejection: "1" asks for no retry at another server
	headerFeedback         = "Feedback"        // the value that the admission controller advertises
	headerNoOtherServerSet = "1"
)

// Header is a field of a response.
type Header struct{ Name, Value string }
