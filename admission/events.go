package admission

import "time"

// Event is an input of the controller: one of the types below.
type Event interface{ event() }

// Arrival reports a request that the server has read and now holds.
type Arrival struct {
	ID           uint32
	Class        int           // index into Settings.Classes
	Tenant       int           // index into Settings.Tenants
	Timeout      time.Duration // time until the caller gives up; 0 if unknown
	ExpectedWork time.Duration // expected run time on a standard core; 0 if unknown
	Age          time.Duration // time since the request reached the machine
	MemoryKB     float64       // memory of the request while it is queued
	Retry        bool          // the request is marked as a retry or a hedged request
	DuplicateOf  uint32        // id of the request with a stored key that this one duplicates; 0 if none

	// No decision uses the fields below.

	HasLookupKey bool    // the request carries a lookup key
	Rank         float64 // rank of the request by its class's priority weight, 0 to 1
}

// Completed reports that a run or a ShareResult ended, or that Preempt took effect.
type Completed struct {
	ID      uint32
	Elapsed time.Duration
	Outcome Outcome
}

// Canceled reports that the caller has given up and needs no response.
type Canceled struct{ ID uint32 }

// CallNeeded reports that a running request released its core and waits for a call.
type CallNeeded struct{ ID uint32 }

// CallCompleted reports that a call made by StartCall ended.
type CallCompleted struct {
	ID      uint32
	Elapsed time.Duration
	Outcome Outcome
}

// Drain reports the shutdown signal: the server will be stopped and must drain.
type Drain struct {
	StopIn time.Duration // time until the server is stopped
	Age    time.Duration // time since the shutdown signal, if the event was delayed
}

// TimerFired reports that a timer of SetTimer fired.
type TimerFired struct {
	TimerID uint64
	Gauges  Gauges
}

// UnknownGauge is the value of a gauge whose measurement is unknown.
const UnknownGauge = -1

// Gauges are the server's own measurements; a negative value means unknown.
type Gauges struct {
	CPUUtilization float64 // recent mean fraction of busy cores
	RunQueue       float64 // number of running and runnable tasks

	// No decision uses the fields below.

	MemoryUtilization float64 // fraction of the memory in use
	Connections       float64 // number of open connections
}

// Outcome is the result of a run or a call.
type Outcome uint8

// The outcomes. OutcomeResourceExhausted, OutcomeUnavailable and OutcomeNotStarted guarantee that
// nothing was executed.
const (
	OutcomeOK                Outcome = iota
	OutcomeInternal                  // the run failed, or the tier below failed the call
	OutcomeResourceExhausted         // the dependency rejected the call
	OutcomeDeadlineExceeded          // the call was abandoned and may have been executed
	OutcomeUnavailable               // the dependency was unreachable
	OutcomeAborted                   // the call was interrupted and may have been executed
	OutcomeCanceled                  // the run was stopped
	OutcomeNotStarted                // the request ended before its run could start
)

func (Arrival) event()       {}
func (Completed) event()     {}
func (Canceled) event()      {}
func (CallNeeded) event()    {}
func (CallCompleted) event() {}
func (Drain) event()         {}
func (TimerFired) event()    {}
