package admission

import (
	"math"
	"slices"
	"time"
)

// Calls to the dependency. A shared dependency fails if the calls in flight of all servers,
// averaged over CallWindow, exceed its capacity; it slows down well below that. Each server stays
// within its CallQuota. Inputs: CallQuota, CallWindow, CallLinger, and the durations of calls.
// Calls to the next tier are not limited.

const (
	// slowCallFraction is the fraction of the latency objective beyond which the duration of a call
	// indicates an overloaded dependency.
	slowCallFraction = 0.1
	// callLimitDecrease is the decrease of the limit for each slow or rejected call: four such calls
	// reduce the limit by one call.
	callLimitDecrease = 0.25
	// minCallTimeout is the minimum timeout of a call whose timeout is bounded by the saved call time.
	minCallTimeout = 20 * time.Millisecond
	// accruedQuotaFraction is the fraction of a quota below 1 at which call time accrues.
	accruedQuotaFraction = 1.0 / 2
	// maxSavedQuotaFraction bounds the saved call time, as a fraction of the quota over one window in
	// call-seconds. The time saved before a window and the time accrued in it together don't exceed
	// the quota.
	maxSavedQuotaFraction = 1 - accruedQuotaFraction
)

// callLimiter limits the calls in flight. With a quota of at least 1 it bounds their number by a
// limit that adapts to the dependency. With a smaller quota it accrues call time, in call-seconds,
// at half of the quota, and allows one call at a time that spends the saved call time.
type callLimiter struct {
	quota            float64 // number of calls in flight, on average over window
	window           time.Duration
	abandonedCallTTL time.Duration

	limit             float64         // maximum number of calls in flight, from 1 to quota
	savedCallSeconds  float64         // accrued and unspent call time
	abandonedExpireAt []time.Duration // clock times until which abandoned calls count as in flight
}

func newCallLimiter(s *Settings) callLimiter {
	return callLimiter{quota: s.CallQuota, window: s.CallWindow, abandonedCallTTL: s.CallLinger, limit: s.CallQuota}
}

// accrue updates the saved call time for the interval between two clock times, during which
// inFlight calls were in flight.
func (l *callLimiter) accrue(from, to time.Duration, inFlight int) {
	l.abandonedExpireAt = slices.DeleteFunc(l.abandonedExpireAt, func(until time.Duration) bool { return until <= to })
	seconds := (to - from).Seconds()
	maxSaved := l.quota * l.window.Seconds() * maxSavedQuotaFraction
	used := float64(inFlight + len(l.abandonedExpireAt))
	l.savedCallSeconds = math.Min(maxSaved, l.savedCallSeconds+seconds*(l.quota*accruedQuotaFraction-used))
}

// recordAbandonedCall counts an abandoned call as in flight for abandonedCallTTL.
func (l *callLimiter) recordAbandonedCall(now time.Duration) {
	l.abandonedExpireAt = append(l.abandonedExpireAt, now+l.abandonedCallTTL)
}

// allows reports whether one more call may start.
func (l *callLimiter) allows(inFlight int) bool {
	if l.quota >= 1 {
		return float64(inFlight+len(l.abandonedExpireAt)+1) <= l.limit
	}
	return inFlight+len(l.abandonedExpireAt) == 0 && l.savedCallSeconds >= l.abandonedCallTTL.Seconds()+minCallTimeout.Seconds()
}

// maxCallDuration is the maximum duration of a call that the saved call time covers, if the call is
// abandoned and lingers for abandonedCallTTL after that.
func (l *callLimiter) maxCallDuration() time.Duration {
	seconds := l.savedCallSeconds - l.abandonedCallTTL.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// adjustLimit changes the limit by additive increase and additive decrease, up to the quota. A
// rejected or slow call lowers the limit by callLimitDecrease. Any other call raises it by 1/limit,
// which is one call for as many calls as the limit. A call that didn't reach the dependency leaves
// the limit unchanged.
func (l *callLimiter) adjustLimit(outcome Outcome, seconds, slowSeconds float64) {
	if outcome == OutcomeResourceExhausted || seconds > slowSeconds {
		l.limit = math.Max(1, l.limit-callLimitDecrease)
	} else if outcome != OutcomeUnavailable {
		l.limit = math.Max(1, math.Min(l.quota, l.limit+1/math.Max(1, l.limit)))
	}
}

// startCalls starts the calls that the limit allows, in the order of the requests' arrival. A
// request without a call is degraded if a degraded response earns a reward, and waits otherwise.
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

// degrade resumes a request without its call if its class allows degraded responses.
func (c *Controller) degrade(r *request) (degraded bool) {
	if c.settings.Classes[r.class].DegradedFraction > 0 {
		c.emit(Degrade{r.id})
		c.changePhase(r, transitionDegrade)
		return true
	}
	return false
}

// callDeadline is the clock time at which a call that starts now is abandoned. It is deadlineLead
// before the request's deadline, so that a response can still be sent.
func (c *Controller) callDeadline(r *request) time.Duration {
	deadline := r.deadline - c.deadlineLead()
	if c.settings.Dependency == DependencyShared && c.calls.quota < 1 {
		deadline = min(deadline, c.now+c.calls.maxCallDuration())
	}
	return deadline
}

// callsBacklogged reports whether more requests wait for a call than the limit of calls in flight.
// The server is then overloaded even if cores are idle.
func (c *Controller) callsBacklogged() bool {
	return c.settings.Dependency == DependencyShared && c.calls.quota >= 1 &&
		float64(c.phaseCounts[phaseAwaitingCall]) > c.calls.limit
}

// handleCallNeeded records that a request released its core and waits for a call.
func (c *Controller) handleCallNeeded(e CallNeeded) {
	r := c.byID[e.ID]
	if r == nil || !transitionNeedCall.allowedFrom(r.phase) {
		return
	}
	c.runTimes.resetOverdueCompletions()
	c.changePhase(r, transitionNeedCall)
}

// handleCallCompleted resumes a request after its call. If the call failed, the request is degraded
// or fails. A retry of the call would add load to an overloaded dependency and might execute the
// call twice.
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
		c.calls.recordAbandonedCall(c.now)
	}
	if !r.settled && !c.degrade(r) {
		c.fail(r)
	}
}
