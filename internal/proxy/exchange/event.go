package exchange

import "time"

// Event is what the dispatcher dequeues: one of *Request, RequestCanceled, Outcome, Gauges,
// RunnerReady and Callback.
type Event interface{ event() }

// RequestCanceled reports that nobody waits for a request any more.
type RequestCanceled struct{ Request *Request }

// Outcome reports on a job.
type Outcome struct {
	// TraceID is that of the job.
	TraceID string
	// Stage says what is reported.
	Stage Stage
	// Result is how the job ended; of RunEnded and CallEnded.
	Result Result
	// Duration is how long a run took, if the runner says; 0 if not. The dispatcher measures
	// runs by its own clock and does not use it.
	Duration time.Duration
	// Body is the result of the run, the request of the call, or the reply.
	Body []byte
}

// Gauges are the runner's measurements, in the order of the settings (family_info.own_stats).
type Gauges []float64

// RunnerReady reports that the runner takes runs.
type RunnerReady struct {
	// WarmingUp says that the runner is warming up.
	WarmingUp bool
	// Uptime is how long it has been up.
	Uptime time.Duration
}

// Callback is code that must run in the dispatcher's goroutine. It must not block.
type Callback func()

func (*Request) event()        {}
func (RequestCanceled) event() {}
func (Outcome) event()         {}
func (Gauges) event()          {}
func (RunnerReady) event()     {}
func (Callback) event()        {}
