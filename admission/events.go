package admission

import "time"

// Event is something that happened to the server: one of the types below.
type Event interface{ event() }

// Arrival reports a request that was read and is now held.
type Arrival struct {
	ID           uint32
	Class        int           // index into Settings.Classes
	Tenant       int           // index into Settings.Tenants
	Timeout      time.Duration // until the caller gives up; 0 if not known
	ExpectedWork time.Duration // on a standard core; 0 if not known
	Age          time.Duration // since it reached the machine
	MemoryKB     float64       // while queued
	Retry        bool          // marked as a retry or a hedged request
	DuplicateOf  uint32        // stored request that it repeats; 0 if none

	// The rest is part of the event; no decision uses it.

	HasLookupKey bool    // it names a subject
	Rank         float64 // 0 to 1, by the weight of its class
}

// Completed reports that a run or a ShareResult ended, or that Preempt took effect.
type Completed struct {
	ID      uint32
	Elapsed time.Duration
	Outcome Outcome
}

// Canceled reports that the caller has given up: no answer is needed.
type Canceled struct{ ID uint32 }

// CallNeeded reports that a running request left the cores and waits for a call.
type CallNeeded struct{ ID uint32 }

// CallCompleted reports the end of a StartCall.
type CallCompleted struct {
	ID      uint32
	Elapsed time.Duration
	Outcome Outcome
}

// Drain is the notice that the server will be stopped.
type Drain struct {
	StopIn time.Duration // until the stop
	Age    time.Duration // since the notice, where it was not handed on at once
}

// TimerFired answers a SetTimer.
type TimerFired struct {
	TimerID uint64
	Gauges  Gauges
}

// UnknownGauge is the value of a gauge that is not known.
const UnknownGauge = -1

// Gauges are the server's own measurements; a negative value is not known.
type Gauges struct {
	CPUUtilization float64 // fraction of the cores busy lately
	RunQueue       float64 // everything that wants a core now

	// The rest is part of the event; no decision uses it.

	MemoryUtilization float64 // fraction of the memory in use
	Connections       float64 // open connections
}

// Outcome is the result of a run or a call.
type Outcome uint8

// The outcomes. ResourceExhausted, Unavailable and NotStarted prove that nothing was run.
const (
	OutcomeOK                Outcome = iota
	OutcomeInternal                  // the run failed, or the tier below failed the call
	OutcomeResourceExhausted         // the call was rejected
	OutcomeDeadlineExceeded          // the call was abandoned; it may have had its effect
	OutcomeUnavailable               // the dependency could not be reached
	OutcomeAborted                   // the call was interrupted; it may have had its effect
	OutcomeCanceled                  // the run was stopped
	OutcomeNotStarted                // the request was over before it could be run
)

func (Arrival) event()       {}
func (Completed) event()     {}
func (Canceled) event()      {}
func (CallNeeded) event()    {}
func (CallCompleted) event() {}
func (Drain) event()         {}
func (TimerFired) event()    {}
