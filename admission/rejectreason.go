package admission

import "fmt"

// RejectReason is the rule that rejected a request. It is only for the operators' log: neither
// callers nor the simulator receive it, and no decision uses it.
type RejectReason uint8

// The rules, in the order of the decisions that use them: on a new request (decide), on a duplicate
// (decideDuplicate) and on a queued request (rejectOrFailExpired). A late request is one that can't
// be answered within its latency objective.
const (
	RejectReasonNone          RejectReason = iota // no rule rejects the request
	RejectDrainGraceOver                          // the request arrived later than DrainGracePeriod after the shutdown signal
	RejectMemoryFull                              // the request needs more memory than is free
	RejectLateInDrain                             // the request is late and the server drains
	RejectExpiredOnArrival                        // the request is late and had expired when it was read
	RejectLateCallsBacklogged                     // the request is late and more requests wait for calls than may be in flight
	RejectLateOverloaded                          // the request is late and many recent requests were rejected
	RejectPolicy                                  // no core is free and the policy admits only higher rewards
	RejectOriginalNotRun                          // the original of the duplicate finished without a run in the same batch
	RejectExpiredInQueue                          // the request expired while it was queued
	rejectReasonCount                             // number of reasons
)

// rejectReasonNames are the names in the operators' log.
var rejectReasonNames = [rejectReasonCount]string{
	RejectReasonNone:          "none",
	RejectDrainGraceOver:      "drain_grace_over",
	RejectMemoryFull:          "memory_full",
	RejectLateInDrain:         "late_in_drain",
	RejectExpiredOnArrival:    "expired_on_arrival",
	RejectLateCallsBacklogged: "late_calls_backlogged",
	RejectLateOverloaded:      "late_overloaded",
	RejectPolicy:              "policy",
	RejectOriginalNotRun:      "original_not_run",
	RejectExpiredInQueue:      "expired_in_queue",
}

// String returns the name of the reason in the operators' log.
func (r RejectReason) String() string {
	if r < rejectReasonCount {
		return rejectReasonNames[r]
	}
	return fmt.Sprintf("reject_reason(%d)", uint8(r))
}
