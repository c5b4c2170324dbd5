// Package exchange is where the server side (fronts) and the client side
// (engine, records, AJP upstreams) meet: requests, attempts and outcomes, and
// no wire. Any goroutine posts; the one that owns the core takes.
package exchange

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a call that a front has read whole. It is owed one answer.
type Request struct {
	TraceID        string // names this try on all wires
	Class          int
	Arrived        time.Time     // at the machine
	Timeout        time.Duration // of its caller, since Arrived; 0 if it isn't told
	Tenant         string        // "" if it isn't told
	ExpectedWork   time.Duration
	ReservedKB     float64
	Rank           float64
	HasSubject     bool
	IsRetry        bool
	IdempotencyKey string // names the request in all of its tries; of deduplicated classes
	Body           []byte
	Responder      Responder
}

// IsTrace tells whether t can name a try: 16 hex digits.
func IsTraceID(t string) bool {
	return len(t) == 16 && strings.Trim(t, "0123456789abcdefABCDEF") == ""
}

// Asker is a front's side of one request.
type Responder interface {
	// Answer sends the final answer, or drops it if the caller is gone.
	Respond(Response)
}

// Result is the kind of a final answer.
type ResponseKind uint8

// The results. Only Refused promises that nothing was run.
const (
	Succeeded ResponseKind = iota
	Rejected
	Failed
)

// Answer is the final answer to a request.
type Response struct {
	Kind             ResponseKind
	Body             []byte        // of Served, byte for byte as it was made
	RetryAfter       time.Duration // of Refused: come back after this
	NoRetryElsewhere bool          // of Refused: don't try another server
	InvalidRequest   bool          // of Failed: the request could not be what it says it is
}

// Attempt is work handed to the client side: a run, or a call for a run.
type Attempt struct {
	TraceID    string
	Class      string
	Idempotent bool // may be sent again after it may have run
	Timeout    time.Duration
	Body       []byte
}

// Stage says what an outcome is of.
type Stage uint8

// The stages.
const (
	RunEnded   Stage = iota // a run ended
	CallNeeded              // a run stands at a call, whose body is given
	CallEnded               // a call ended
)

// End is how a run or a call ended.
type Result uint8

// The ends. NotBegun, Unreachable and Moot prove that nothing was run; of a run,
// NotBegun says that the runner knows no such request.
const (
	ResultOK             Result = iota
	ResultError                 // it failed, and may have had its effect
	ResultStopped               // a run was stopped
	ResultObsolete              // a run was not started, its request being over
	ResultNotStarted            // a call was turned away unexamined
	ResultUnreachable           // no connection was made
	ResultTimedOut              // it was given up, and may have had its effect
	ResultConnectionLost        // its connection was lost, and it may have had its effect
)

// Outcome reports on an attempt.
type Outcome struct {
	TraceID  string
	Stage    Stage
	Result   Result
	Duration time.Duration
	Body     []byte
}

// Runner carries out runs: the engine, or AJP upstreams.
type Runner interface {
	Run(Attempt)
	// Halt stops a run. One that is over, its answer given, is not resumed.
	Stop(trace string, over bool)
	Resume(trace string)                    // goes on with a run that is paused
	Discard(trace string)                   // forgets a run that is paused and over
	DeliverReply(trace string, body []byte) // the reply to the call that a run stands at
	RequestGauges()
}

// Caller makes calls below.
type DependencyClient interface {
	Call(Attempt)
	Cancel(trace string)
}

// Gone reports that a front knows that nobody waits for a request any more.
type ClientGone struct{ Request *Request }

// Gauges are the runner's measurements, in the order of the settings.
type Gauges []float64

// Ready reports that the runner is up since the given time ago.
type RunnerReady struct {
	ColdStart bool
	Uptime    time.Duration
}

// Step is code of a link that must run in the core's goroutine.
type Callback func()

// Event is one of *Request, Gone, Outcome, Gauges, Ready and Step.
type Event interface{ event() }

func (*Request) event()    {}
func (ClientGone) event()  {}
func (Outcome) event()     {}
func (Gauges) event()      {}
func (RunnerReady) event() {}
func (Callback) event()    {}

// Exchange is the queue between the sides.
type Exchange struct {
	mu      sync.Mutex
	queue   []Event
	open    int // requests submitted and not settled
	most    int
	wake    chan struct{}
	healthy atomic.Bool
	value   atomic.Pointer[float64]
}

// New returns an Exchange that holds so many open requests at most.
func New(most int) *Exchange {
	return &Exchange{most: most, wake: make(chan struct{}, 1)}
}

// Submit posts a request. It reports false, and takes nothing, when as many are
// open as memory has room for.
func (x *Exchange) Submit(r *Request) bool {
	x.mu.Lock()
	full := x.open >= x.most
	if !full {
		x.open++
		x.queue = append(x.queue, r)
	}
	x.mu.Unlock()
	x.signal()
	return !full
}

// Settled makes room after a request has got its answer.
func (x *Exchange) Release() {
	x.mu.Lock()
	x.open--
	x.mu.Unlock()
}

// Post hands over anything else: what is posted is bounded by what was asked.
func (x *Exchange) Post(e Event) {
	x.mu.Lock()
	x.queue = append(x.queue, e)
	x.mu.Unlock()
	x.signal()
}

func (x *Exchange) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Wake has a value when something was posted since the last Take.
func (x *Exchange) Wake() <-chan struct{} { return x.wake }

// Take empties the queue into buf.
func (x *Exchange) Dequeue(buf []Event) []Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	buf = append(buf[:0], x.queue...)
	clear(x.queue)
	x.queue = x.queue[:0]
	return buf
}

// SetHealthy sets the answer to health checks, which Healthy gives at once.
func (x *Exchange) SetHealthy(ok bool) { x.healthy.Store(ok) }

// Healthy is the answer to health checks.
func (x *Exchange) Healthy() bool { return x.healthy.Load() }

// Publish sets the free value that answers and health checks carry from now on.
func (x *Exchange) SetFeedback(value float64) { x.value.Store(&value) }

// Published is the free value, if there is one.
func (x *Exchange) Feedback() (float64, bool) {
	v := x.value.Load()
	if v == nil {
		return 0, false
	}
	return *v, true
}
