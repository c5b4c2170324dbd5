package maintenance

import (
	"errors"
	"slices"
)

// Phase is how far an order has come.
//
// These are all transitions. By the controller (see timedTransition and Decide):
//
//	requested -> granted     the budget allows it
//	requested -> expired     LatestStartMS has passed
//	granted   -> requested   not confirmed within ConfirmTimeoutMS
//	draining  -> failed      not out within OverrunAllowanceMS
//	out       -> failed      not back within the order's duration and OverrunAllowanceMS
//	returned  -> completed   the machine is in service
//	returned  -> failed      not in service within WarmUpTimeoutMS
//	failed    -> abandoned   after AbandonAfterMS, if that is set
//
// By a report of the machine, or of an operator for it (see Order.ApplyReport):
//
//	granted                     -> draining   under the lease of the machine
//	draining                    -> out
//	draining, out, failed       -> returned
//	draining, out, returned     -> failed
//
// By an operator's cancellation (see Order.Cancel):
//
//	requested, granted -> deleted
//	failed             -> abandoned
type Phase string

// Phases, as they are stored.
const (
	PhaseRequested Phase = "asked"
	PhaseGranted   Phase = "granted"  // the machine may leave, and has not confirmed yet
	PhaseDraining  Phase = "draining" // the machine has confirmed, and accepts nothing new
	PhaseOut       Phase = "out"
	PhaseReturned  Phase = "back"     // the machine runs again, and is warming up
	PhaseCompleted Phase = "warm"     // an end
	PhaseFailed    Phase = "failed"   // late, dead, or its maintenance failed; it counts as out
	PhaseAbandoned Phase = "given-up" // failed, and does not count as out any more; an end
	PhaseExpired   Phase = "too-late" // not granted before LatestStartMS; an end
)

// ErrWrongPhase means that an order's phase does not allow a report, a cancellation or a new order.
var ErrWrongPhase = errors.New("the machine's work is further on")

// String returns the phase as it is stored.
func (p Phase) String() string { return string(p) }

// Open reports whether there is anything left to be done.
func (p Phase) Open() bool {
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

// reportablePhases holds, for each phase that may be reported, the phases from which.
var reportablePhases = map[Phase][]Phase{
	PhaseDraining: {PhaseGranted},
	PhaseOut:      {PhaseDraining},
	PhaseReturned: {PhaseDraining, PhaseOut, PhaseFailed},
	PhaseFailed:   {PhaseDraining, PhaseOut, PhaseReturned},
}

// PhaseReport is what a machine, or an operator for it, reports of its order.
type PhaseReport struct {
	Phase      Phase  `json:"state"`
	GrantToken uint64 `json:"grant,omitempty"` // token of the machine's lease under which it left
	Reason     string `json:"why,omitempty"`
}

// ApplyReport returns the order after a report. A report that is repeated, as its answer was lost,
// changes nothing; without a token, as from an operator, the phase alone tells. The error is
// ErrWrongPhase.
func (o Order) ApplyReport(report PhaseReport) (next Order, changed bool, err error) {
	sameGrant := report.GrantToken == o.GrantToken
	if o.Phase == report.Phase && (report.GrantToken == 0 || sameGrant) {
		return o, false, nil
	}
	allowed := slices.Contains(reportablePhases[report.Phase], o.Phase)
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

// Cancel returns the order after a cancellation; nil if it is to be deleted. The error is ErrWrongPhase.
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

// timedTransition returns the phase into which an order moves because of the time that it has spent in
// its phase, or because of its machine's state; "" if it stays.
func timedTransition(o Order, machine Machine, v Observation) (to Phase, reason string) {
	budget := v.Budget
	inPhaseMS := v.NowMS - o.PhaseSinceMS
	switch {
	case o.Phase == PhaseRequested && o.LatestStartMS > 0 && v.NowMS > o.LatestStartMS:
		return PhaseExpired, "its latest time is over"
	case o.Phase == PhaseGranted && inPhaseMS > budget.ConfirmTimeoutMS:
		return PhaseRequested, "not confirmed in time"
	case o.Phase == PhaseDraining && inPhaseMS > budget.OverrunAllowanceMS:
		return PhaseFailed, "did not say that it is out"
	case o.Phase == PhaseOut && inPhaseMS > o.DurationMS+budget.OverrunAllowanceMS:
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
