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
	// minCallTime is the shortest timeout with which a call is made.
	minCallTime = 20 * time.Millisecond
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
	quota  float64 // calls in flight
	window time.Duration
	linger time.Duration

	limit       float64         // calls in flight, 1 to quota
	savedTime   float64         // call-seconds
	lingerUntil []time.Duration // clock times until which abandoned calls may be in flight
}

func newCallLimiter(s *Settings) callLimiter {
	return callLimiter{quota: s.CallQuota, window: s.CallWindow, linger: s.CallLinger, limit: s.CallQuota}
}

// pass accounts for the time from one clock time to the next with the given calls in flight.
func (l *callLimiter) pass(from, to time.Duration, inFlight int) {
	l.lingerUntil = slices.DeleteFunc(l.lingerUntil, func(until time.Duration) bool { return until <= to })
	seconds := (to - from).Seconds()
	maxSaved := l.quota * l.window.Seconds() * maxSavedQuotaFraction
	used := float64(inFlight + len(l.lingerUntil))
	l.savedTime = math.Min(maxSaved, l.savedTime+seconds*(l.quota*accruedQuotaFraction-used))
}

// abandon counts a call as in flight for as long as it may linger.
func (l *callLimiter) abandon(now time.Duration) {
	l.lingerUntil = append(l.lingerUntil, now+l.linger)
}

// allows reports whether one more call may be made.
func (l *callLimiter) allows(inFlight int) bool {
	if l.quota >= 1 {
		return float64(inFlight+len(l.lingerUntil)+1) <= l.limit
	}
	return inFlight+len(l.lingerUntil) == 0 && l.savedTime >= l.linger.Seconds()+minCallTime.Seconds()
}

// maxCallTime is the longest call that the accrued call time allows, if it lingers after that.
func (l *callLimiter) maxCallTime() time.Duration {
	seconds := l.savedTime - l.linger.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// observe moves the limit: the quota is a ceiling, not a target. A call that is
// rejected or slow lowers it; each other call raises it by 1/limit, by one call for as
// many calls as the limit (additive increase). A call that did not reach the dependency
// changes nothing.
func (l *callLimiter) observe(outcome Outcome, seconds, slowSeconds float64) {
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
		if !stepStartCall.allows(r.phase) || r.settled {
			continue
		}
		if !c.mayCall() {
			c.degrade(r)
			continue
		}
		c.emit(StartCall{ID: r.id, Deadline: c.callDeadline(r)})
		c.advance(r, stepStartCall)
	}
}

func (c *Controller) mayCall() bool {
	return c.settings.Dependency != DependencyShared || c.calls.allows(c.phaseCounts[phaseInCall])
}

// degrade lets a request go on without its call, if its class allows that.
func (c *Controller) degrade(r *request) (degraded bool) {
	if c.settings.Classes[r.class].DegradedFraction > 0 {
		c.emit(Degrade{r.id})
		c.advance(r, stepDegrade)
		return true
	}
	return false
}

// callDeadline is the clock time at which a call that starts now is abandoned:
// answerLead before its request's deadline, for the answer.
func (c *Controller) callDeadline(r *request) time.Duration {
	deadline := r.deadline - c.deadlineLead()
	if c.settings.Dependency == DependencyShared && c.calls.quota < 1 {
		deadline = min(deadline, c.now+c.calls.maxCallTime())
	}
	return deadline
}

// callsBacklogged reports whether more requests wait for calls than may be in
// flight: cores may be free, the server isn't.
func (c *Controller) callsBacklogged() bool {
	return c.settings.Dependency == DependencyShared && c.calls.quota >= 1 &&
		float64(c.phaseCounts[phaseAwaitingCall]) > c.calls.limit
}

// callNeeded takes a request off the cores.
func (c *Controller) callNeeded(e CallNeeded) {
	r := c.byID[e.ID]
	if r == nil || !stepNeedCall.allows(r.phase) {
		return
	}
	c.runTimes.resetMissedRuns()
	c.advance(r, stepNeedCall)
}

// callCompleted resumes a request after its call. One whose call failed is
// degraded or fails: a second call would add load to an overloaded dependency,
// and might have its effect twice.
func (c *Controller) callCompleted(e CallCompleted) {
	r := c.byID[e.ID]
	if r == nil || !stepCallSucceeded.allows(r.phase) {
		return
	}
	slowSeconds := slowCallFraction * c.settings.Classes[r.class].LatencyObjective.Seconds()
	c.calls.observe(e.Outcome, e.Elapsed.Seconds(), slowSeconds)
	if e.Outcome == OutcomeOK {
		c.advance(r, stepCallSucceeded)
		return
	}
	c.advance(r, stepCallFailed)
	if e.Outcome == OutcomeDeadlineExceeded || e.Outcome == OutcomeAborted {
		c.calls.abandon(c.now)
	}
	if !r.settled && !c.degrade(r) {
		c.fail(r)
	}
}
