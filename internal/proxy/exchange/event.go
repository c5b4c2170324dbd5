package exchange

import "time"

// Event is an event for the dispatcher: a *Request, RequestCanceled, Outcome, Gauges, RunnerReady or
// Callback.
type Event interface{ event() }

// RequestCanceled reports that the caller canceled a request or that its connection was closed, so
// that no one waits for the response.
type RequestCanceled struct{ Request *Request }

// Outcome reports the progress or the end of a job.
type Outcome struct {
	// TraceID identifies the job.
	TraceID string
	// Stage says what the outcome reports.
	Stage Stage
	// Result is how the job ended. It is set for RunEnded and CallEnded.
	Result Result
	// Duration is the duration of a run as measured by the runner; 0 if the runner doesn't report it.
	// The dispatcher doesn't use it but measures runs by its own clock.
	Duration time.Duration
	// Body is the result of the run (RunEnded), the request body of the call (CallNeeded), or the
	// reply to the call (CallEnded).
	Body []byte
}

// Gauges are the runner's gauge values, in the order of the settings (family_info.own_stats).
type Gauges []float64

// RunnerReady reports that the runner accepts runs.
type RunnerReady struct {
	// WarmingUp says that the runner has started recently and runs slower than a warm one.
	WarmingUp bool
	// Uptime is the time since the runner's start.
	Uptime time.Duration
}

// Callback is a function that the dispatcher calls in its goroutine. It must not block.
type Callback func()

func (*Request) event()        {}
func (RequestCanceled) event() {}
func (Outcome) event()         {}
func (Gauges) event()          {}
func (RunnerReady) event()     {}
func (Callback) event()        {}
