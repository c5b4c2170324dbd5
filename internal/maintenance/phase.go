package maintenance

import (
	"errors"
	"slices"
)

// Phase is the progress of an order. The controller makes these transitions (see timedTransition and Decide):
//
//	requested -> granted     the budget allows it
//	requested -> expired     LatestStartMS has passed
//	granted   -> requested   not confirmed within ConfirmTimeoutMS
//	draining  -> failed      not out within OverrunGracePeriodMS
//	out       -> failed      not back within the order's duration plus OverrunGracePeriodMS
//	returned  -> completed   the machine is in service
//	returned  -> failed      not in service within WarmUpTimeoutMS
//	failed    -> abandoned   AbandonAfterMS has passed, if it is set
//
// A report from the machine, or from an operator on its behalf, makes these (see Order.ApplyReport):
//
//	granted                     -> draining   under the machine's lease
//	draining                    -> out
//	draining, out, failed       -> returned
//	draining, out, returned     -> failed
//
// An operator's cancellation makes these (see Order.Cancel):
//
//	requested, granted -> deleted
//	failed             -> abandoned
type Phase string

// Phases of an order. The strings are stored and sent.
const (
	PhaseRequested Phase = "asked"
	PhaseGranted   Phase = "granted"  // the machine may leave, but has not confirmed yet
	PhaseDraining  Phase = "draining" // the machine has confirmed, and accepts no new requests
	PhaseOut       Phase = "out"      // the machine is out of service
	PhaseReturned  Phase = "back"     // the service on the machine has started again, and is warming up
	PhaseCompleted Phase = "warm"     // the machine is in service again; final
	PhaseFailed    Phase = "failed"   // the machine is late, possibly after a crash, or its maintenance failed; it counts as out
	PhaseAbandoned Phase = "given-up" // failed, and no longer counts as out; final
	PhaseExpired   Phase = "too-late" // not granted before LatestStartMS; final
)

// ErrWrongPhase means that an order's current phase does not allow a report, a cancellation or a new order.
var ErrWrongPhase = errors.New("the machine's work is further on")

// String returns the stored form of the phase.
func (p Phase) String() string { return string(p) }

// IsOpen reports whether the phase is not final.
func (p Phase) IsOpen() bool {
	return p != PhaseCompleted && p != PhaseAbandoned && p != PhaseExpired
}

// countsAsOut reports whether an order in this phase uses the disruption budget.
func (p Phase) countsAsOut() bool {
	switch p {
	case PhaseGranted, PhaseDraining, PhaseOut, PhaseReturned, PhaseFailed:
		return true
	}
	return false
}

// reportAllowedIn lists, for each phase that may be reported, the current phases in which the report is accepted.
var reportAllowedIn = map[Phase][]Phase{
	PhaseDraining: {PhaseGranted},
	PhaseOut:      {PhaseDraining},
	PhaseReturned: {PhaseDraining, PhaseOut, PhaseFailed},
	PhaseFailed:   {PhaseDraining, PhaseOut, PhaseReturned},
}

// PhaseReport reports the new phase of a machine's order. The machine sends it, or an operator on its behalf.
type PhaseReport struct {
	Phase      Phase  `json:"state"`
	GrantToken uint64 `json:"grant,omitempty"` // fencing token of the machine's lease
	Reason     string `json:"why,omitempty"`
}

// ApplyReport returns the order after a report. A report that is retried because its response was lost
// changes nothing. A report without a token, such as an operator's, counts as a retry if its phase is the
// current one. The error is ErrWrongPhase.
func (o Order) ApplyReport(report PhaseReport) (next Order, changed bool, err error) {
	sameGrant := report.GrantToken == o.GrantToken
	if o.Phase == report.Phase && (report.GrantToken == 0 || sameGrant) {
		return o, false, nil
	}
	allowed := slices.Contains(reportAllowedIn[report.Phase], o.Phase)
	switch report.Phase {
	case PhaseDraining:
		allowed = allowed && report.GrantToken != 0
	case PhaseOut, PhaseFailed:
		allowed = allowed && sameGrant
	}
	if !allowed {
		return o, false, ErrWrongPhase
	}
	next = o
	next.Phase = report.Phase
	next.PhaseReason = report.Reason
	if report.Phase == PhaseDraining {
		next.GrantToken = report.GrantToken
	}
	return next, true, nil
}

// Cancel returns the order after a cancellation, or nil if the order must be deleted. The error is ErrWrongPhase.
func (o Order) Cancel() (*Order, error) {
	switch o.Phase {
	case PhaseFailed:
		o.Phase = PhaseAbandoned
		return &o, nil
	case PhaseRequested, PhaseGranted:
		return nil, nil
	}
	return nil, ErrWrongPhase
}

// timedTransition returns the phase into which an order moves because of the time spent in its current
// phase, or because of its machine's state. It returns "" if the phase does not change.
func timedTransition(o Order, machine Machine, obs Observation) (to Phase, reason string) {
	budget := obs.Budget
	inPhaseMS := obs.NowMS - o.PhaseSinceMS
	switch {
	case o.Phase == PhaseRequested && o.LatestStartMS > 0 && obs.NowMS > o.LatestStartMS:
		return PhaseExpired, "its latest time is over"
	case o.Phase == PhaseGranted && inPhaseMS > budget.ConfirmTimeoutMS:
		return PhaseRequested, "not confirmed in time"
	case o.Phase == PhaseDraining && inPhaseMS > budget.OverrunGracePeriodMS:
		return PhaseFailed, "did not say that it is out"
	case o.Phase == PhaseOut && inPhaseMS > o.DurationMS+budget.OverrunGracePeriodMS:
		return PhaseFailed, "did not come back in time"
	case o.Phase == PhaseReturned && machine.State == MachineInService:
		return PhaseCompleted, ""
	case o.Phase == PhaseReturned && inPhaseMS > budget.WarmUpTimeoutMS:
		return PhaseFailed, "is back, and did not get warm in time"
	case o.Phase == PhaseFailed && budget.AbandonAfterMS > 0 && inPhaseMS > budget.AbandonAfterMS:
		return PhaseAbandoned, o.PhaseReason
	}
	return "", ""
}
