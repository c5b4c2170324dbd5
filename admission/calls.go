package admission

import (
	"math"
	"slices"
	"time"
)

// Calls to the dependency. The calls of all servers together must stay below
// what a shared dependency survives, on average over CallWindow; it slows down
// well before that. Inputs: CallQuota, CallWindow, CallLinger, and how long
// calls take. Calls to the next tier are not limited.

const (
	// slowCallFraction, of the objective, is how long a call takes that shows an
	// overloaded dependency.
	slowCallFraction = 0.1
	// callLimitDecrease is by how many calls the limit falls for each slow or rejected
	// call: four of them take one call away.
	callLimitDecrease = 0.25
	// minCallTimeout is the shortest timeout with which a call is made.
	minCallTimeout = 20 * time.Millisecond
	// accruedQuotaFraction is the fraction of a quota below 1 that accrues as call time.
	accruedQuotaFraction = 1.0 / 2
	// maxSavedQuotaFraction is the fraction of the quota of one window, in call-seconds,
	// beyond which call time does not accrue. What was saved before a window and what
	// accrues in it are the whole quota together.
	maxSavedQuotaFraction = 1 - accruedQuotaFraction
)

// callLimiter bounds the calls in flight. With a quota of at least 1 their
// number stays below a limit. With a smaller quota call time accrues, in
// call-seconds at half the quota, and one call at a time spends it.
type callLimiter struct {
	quota            float64 // calls in flight
	window           time.Duration
	abandonedCallTTL time.Duration

	limit             float64         // calls in flight, 1 to quota
	savedCallSeconds  float64         // call-seconds
	abandonedExpireAt []time.Duration // clock times until which abandoned calls may be in flight
}

func newCallLimiter(s *Settings) callLimiter {
	return callLimiter{quota: s.CallQuota, window: s.CallWindow, abandonedCallTTL: s.CallLinger, limit: s.CallQuota}
}

// accrue accounts for the time from one clock time to the next with the given calls in flight.
func (l *callLimiter) accrue(from, to time.Duration, inFlight int) {
	l.abandonedExpireAt = slices.DeleteFunc(l.abandonedExpireAt, func(until time.Duration) bool { return until <= to })
	seconds := (to - from).Seconds()
	maxSaved := l.quota * l.window.Seconds() * maxSavedQuotaFraction
	used := float64(inFlight + len(l.abandonedExpireAt))
	l.savedCallSeconds = math.Min(maxSaved, l.savedCallSeconds+seconds*(l.quota*accruedQuotaFraction-used))
}

// recordAbandoned counts a call as in flight for as long as it may linger.
func (l *callLimiter) recordAbandoned(now time.Duration) {
	l.abandonedExpireAt = append(l.abandonedExpireAt, now+l.abandonedCallTTL)
}

// allows reports whether one more call may be made.
func (l *callLimiter) allows(inFlight int) bool {
	if l.quota >= 1 {
		return float64(inFlight+len(l.abandonedExpireAt)+1) <= l.limit
	}
	return inFlight+len(l.abandonedExpireAt) == 0 && l.savedCallSeconds >= l.abandonedCallTTL.Seconds()+minCallTimeout.Seconds()
}

// maxCallDuration is the longest call that the accrued call time allows, if it lingers after that.
func (l *callLimiter) maxCallDuration() time.Duration {
	seconds := l.savedCallSeconds - l.abandonedCallTTL.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// adjustLimit moves the limit: the quota is a ceiling, not a target. A call that is
// rejected or slow lowers it; each other call raises it by 1/limit, by one call for as
// many calls as the limit (additive increase). A call that did not reach the dependency
// changes nothing.
func (l *callLimiter) adjustLimit(outcome Outcome, seconds, slowSeconds float64) {
	if outcome == OutcomeResourceExhausted || seconds > slowSeconds {
		l.limit = math.Max(1, l.limit-callLimitDecrease)
	} else if outcome != OutcomeUnavailable {
		l.limit = math.Max(1, math.Min(l.quota, l.limit+1/math.Max(1, l.limit)))
	}
}

// startCalls makes the calls that the limit allows, oldest request first. Calls
// beyond it are skipped where a degraded answer earns something, and wait otherwise.
func (c *Controller) startCalls() {
	for _, r := range c.requests {
		if !transitionStartCall.allowedFrom(r.phase) || r.settled {
			continue
		}
		if !c.mayCall() {
			c.degrade(r)
			continue
		}
		c.emit(StartCall{ID: r.id, Deadline: c.callDeadline(r)})
		c.changePhase(r, transitionStartCall)
	}
}

func (c *Controller) mayCall() bool {
	return c.settings.Dependency != DependencyShared || c.calls.allows(c.phaseCounts[phaseInCall])
}

// degrade lets a request go on without its call, if its class allows that.
func (c *Controller) degrade(r *request) (degraded bool) {
	if c.settings.Classes[r.class].DegradedFraction > 0 {
		c.emit(Degrade{r.id})
		c.changePhase(r, transitionDegrade)
		return true
	}
	return false
}

// callDeadline is the clock time at which a call that starts now is abandoned:
// answerLead before its request's deadline, for the answer.
func (c *Controller) callDeadline(r *request) time.Duration {
	deadline := r.deadline - c.deadlineLead()
	if c.settings.Dependency == DependencyShared && c.calls.quota < 1 {
		deadline = min(deadline, c.now+c.calls.maxCallDuration())
	}
	return deadline
}

// callsBacklogged reports whether more requests wait for calls than may be in
// flight: cores may be free, the server isn't.
func (c *Controller) callsBacklogged() bool {
	return c.settings.Dependency == DependencyShared && c.calls.quota >= 1 &&
		float64(c.phaseCounts[phaseAwaitingCall]) > c.calls.limit
}

// handleCallNeeded takes a request off the cores.
func (c *Controller) handleCallNeeded(e CallNeeded) {
	r := c.byID[e.ID]
	if r == nil || !transitionNeedCall.allowedFrom(r.phase) {
		return
	}
	c.runTimes.resetMissedRuns()
	c.changePhase(r, transitionNeedCall)
}

// handleCallCompleted resumes a request after its call. One whose call failed is
// degraded or fails: a second call would add load to an overloaded dependency,
// and might have its effect twice.
func (c *Controller) handleCallCompleted(e CallCompleted) {
	r := c.byID[e.ID]
	if r == nil || !transitionCallSucceeded.allowedFrom(r.phase) {
		return
	}
	slowSeconds := slowCallFraction * c.settings.Classes[r.class].LatencyObjective.Seconds()
	c.calls.adjustLimit(e.Outcome, e.Elapsed.Seconds(), slowSeconds)
	if e.Outcome == OutcomeOK {
		c.changePhase(r, transitionCallSucceeded)
		return
	}
	c.changePhase(r, transitionCallFailed)
	if e.Outcome == OutcomeDeadlineExceeded || e.Outcome == OutcomeAborted {
		c.calls.recordAbandoned(c.now)
	}
	if !r.settled && !c.degrade(r) {
		c.fail(r)
	}
}
