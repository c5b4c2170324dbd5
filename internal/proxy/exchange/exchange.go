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
	Trace   string // names this try on all wires
	Class   int
	Arrived time.Time     // at the machine
	Wait    time.Duration // of its caller, since Arrived; 0 if it isn't told
	Tenant  string        // "" if it isn't told
	Hint    time.Duration
	HeldKB  float64
	Place   float64
	Keyed   bool
	Repeat  bool
	Replay  string // names the request in all of its tries; of deduplicated classes
	Body    []byte
	From    Asker
}

// IsTrace tells whether t can name a try: 16 hex digits.
func IsTrace(t string) bool {
	return len(t) == 16 && strings.Trim(t, "0123456789abcdefABCDEF") == ""
}

// Asker is a front's side of one request.
type Asker interface {
	// Answer sends the final answer, or drops it if the caller is gone.
	Answer(Answer)
}

// Result is the kind of a final answer.
type Result uint8

// The results. Only Refused promises that nothing was run.
const (
	Served Result = iota
	Refused
	Failed
)

// Answer is the final answer to a request.
type Answer struct {
	Result  Result
	Body    []byte        // of Served, byte for byte as it was made
	HoldOff time.Duration // of Refused: come back after this
	Stay    bool          // of Refused: don't try another server
	Fault   bool          // of Failed: the request could not be what it says it is
}

// Attempt is work handed to the client side: a run, or a call for a run.
type Attempt struct {
	Trace string
	Class string
	Safe  bool // may be sent again after it may have run
	Wait  time.Duration
	Body  []byte
}

// Stage says what an outcome is of.
type Stage uint8

// The stages.
const (
	Ran    Stage = iota // a run ended
	Needs               // a run stands at a call, whose body is given
	Called              // a call ended
)

// End is how a run or a call ended.
type End uint8

// The ends. NotBegun, Unreachable and Moot prove that nothing was run; of a run,
// NotBegun says that the runner knows no such request.
const (
	OK          End = iota
	Error           // it failed, and may have had its effect
	Stopped         // a run was stopped
	Moot            // a run was not started, its request being over
	NotBegun        // a call was turned away unexamined
	Unreachable     // no connection was made
	OutOfTime       // it was given up, and may have had its effect
	Broken          // its connection was lost, and it may have had its effect
)

// Outcome reports on an attempt.
type Outcome struct {
	Trace string
	Stage Stage
	End   End
	Took  time.Duration
	Body  []byte
}

// Runner carries out runs: the engine, or AJP upstreams.
type Runner interface {
	Run(Attempt)
	// Halt stops a run. One that is over, its answer given, is not resumed.
	Halt(trace string, over bool)
	Resume(trace string)            // goes on with a run that is paused
	Drop(trace string)              // forgets a run that is paused and over
	Feed(trace string, body []byte) // the reply to the call that a run stands at
	AskGauges()
}

// Caller makes calls below.
type Caller interface {
	Call(Attempt)
	GiveUp(trace string)
}

// Gone reports that a front knows that nobody waits for a request any more.
type Gone struct{ Request *Request }

// Gauges are the runner's measurements, in the order of the settings.
type Gauges []float64

// Ready reports that the runner is up since the given time ago.
type Ready struct {
	Cold  bool
	Since time.Duration
}

// Step is code of a link that must run in the core's goroutine.
type Step func()

// Event is one of *Request, Gone, Outcome, Gauges, Ready and Step.
type Event interface{ event() }

func (*Request) event() {}
func (Gone) event()     {}
func (Outcome) event()  {}
func (Gauges) event()   {}
func (Ready) event()    {}
func (Step) event()     {}

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
func (x *Exchange) Settled() {
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
func (x *Exchange) Take(buf []Event) []Event {
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
func (x *Exchange) Publish(value float64) { x.value.Store(&value) }

// Published is the free value, if there is one.
func (x *Exchange) Published() (float64, bool) {
	v := x.value.Load()
	if v == nil {
		return 0, false
	}
	return *v, true
}
