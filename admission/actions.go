package admission

import "time"

// Action is a command that the server must execute immediately: one of the types below.
type Action interface{ action() }

// Run starts a queued request or resumes a paused one.
type Run struct{ ID uint32 }

// Preempt stops a running request, with the effect that Settings.Preemption defines.
type Preempt struct{ ID uint32 }

// Reject answers a request that never ran.
type Reject struct {
	ID         uint32
	DoNotRetry bool          // asks the caller not to retry at another server
	Reason     RejectReason  // the rule that rejected the request
	RetryAfter time.Duration // minimum delay before the caller retries here; 0 gives no advice
}

// Fail answers a request with an error that doesn't tell whether the request ran.
type Fail struct{ ID uint32 }

// StartCall makes the call for which a request waits.
type StartCall struct {
	ID       uint32
	Deadline time.Duration // clock time at which the call is abandoned
}

// Degrade resumes a request without its call.
type Degrade struct{ ID uint32 }

// StoreKey stores the key of a request, by which its duplicates are recognized.
type StoreKey struct {
	ID  uint32
	TTL time.Duration
}

// EvictKey removes a stored key.
type EvictKey struct{ ID uint32 }

// ShareResult answers a duplicate with the result of its original.
type ShareResult struct{ ID uint32 }

// SetHealth sets the response to health checks.
type SetHealth struct {
	Healthy bool
	Cached  bool // health checks return this value without doing real work; always true
}

// Advertise publishes a value to callers. Settings.AdvertKind defines its meaning.
type Advertise struct{ Value float64 }

// SetIdleTimeout sets the idle time after which connections are closed.
type SetIdleTimeout struct{ Timeout time.Duration }

// SetTimer requests a TimerFired event after the given time. A timer can't be canceled.
type SetTimer struct {
	After   time.Duration
	TimerID uint64
}

// LogMessage writes a line to the operators' log.
type LogMessage struct{ Text string }

func (Run) action()            {}
func (Preempt) action()        {}
func (Reject) action()         {}
func (Fail) action()           {}
func (StartCall) action()      {}
func (Degrade) action()        {}
func (StoreKey) action()       {}
func (EvictKey) action()       {}
func (ShareResult) action()    {}
func (SetHealth) action()      {}
func (Advertise) action()      {}
func (SetIdleTimeout) action() {}
func (SetTimer) action()       {}
func (LogMessage) action()     {}
