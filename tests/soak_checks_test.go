package tests

import (
	"errors"
	"net"
	"strings"

	"github.com/stretchr/testify/assert"
)

// check compares the outcomes that callers saw with the runs at the engine or the upstreams.
func (s *soakRun) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes := map[string]int{}
	for _, a := range s.attempts {
		outcomes[s.checkAttempt(a)]++
	}
	repeatedRuns := s.checkRuns()
	s.checkProcess()
	failedRuns := s.checkFailedRuns()
	s.registry.check()
	s.t.Logf("| %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |", s.seed, s.plan.callers, s.plan.idleConnections, len(s.attempts),
		s.runner.linkFaults, outcomes["served"], outcomes["rejected"], outcomes["failed"], failedRuns, outcomes["connection closed"], outcomes["left"], repeatedRuns)
	if s.t.Failed() {
		s.t.Logf("repeat with: go test ./tests -run '^%s$' -soak-seeds 1 -soak-seed %d", strings.ReplaceAll(s.t.Name(), "/", "$/^"), s.seed)
	}
}

// checkRuns checks that no at-most-once request ran twice, and returns the number of those that did.
func (s *soakRun) checkRuns() (repeatedRuns int) {
	for identity, runs := range s.runner.runs {
		if len(runs) > 1 && isAtMostOnce(identity) {
			repeatedRuns++
			s.t.Errorf("ran %d times: %s, %v apart", len(runs), identity, runs[1].Sub(runs[0]))
		}
	}
	return repeatedRuns
}

// isAtMostOnce reports whether the class at the start of the identity is at-most-once.
func isAtMostOnce(identity string) bool {
	return strings.HasPrefix(identity, "nom-submit") || strings.HasPrefix(identity, "nom-update")
}

// checkAttempt checks one attempt and returns its outcome for the table.
func (s *soakRun) checkAttempt(a *soakAttempt) string {
	runs := s.runner.runs[a.identity]
	late := a.sentAt.After(s.signaledAt.Add(soakDrainGrace + soakSocketDelay))
	if a.sentCompletely && late && len(runs) > 0 && a.class == "nom-submit" {
		s.t.Errorf("ran although its last byte was sent %v after SIGTERM: %s", a.sentAt.Sub(s.signaledAt), a.identity)
	}
	if a.abandoned {
		return "left"
	}
	if a.err != nil {
		return s.checkConnectionError(a, len(runs))
	}
	limit := soakDeadline + soakResponseGrace + soakSocketDelay + s.stalls.totalBetween(a.acceptedAt, a.endedAt)
	if took := a.endedAt.Sub(a.acceptedAt); took > limit {
		s.t.Errorf("answered after %v, limit %v: %s", took, limit, a.identity)
	}
	switch a.response.status {
	case 200:
		if len(runs) == 0 || !strings.Contains(a.response.body, a.identity) {
			s.t.Errorf("response is not the result of the request's own run: %s: %s", a.identity, a.response.body)
		}
		return "served"
	case 429, 503:
		if a.class == "nom-submit" && len(runs) > 0 {
			s.t.Errorf("rejected, but it ran: %s", a.identity)
		}
		return "rejected"
	}
	return "failed"
}

// checkConnectionError checks an attempt whose connection closed without a response. That is allowed only if
// the request did not run, and only during the drain or while idle connections fill the connection table.
func (s *soakRun) checkConnectionError(a *soakAttempt, runs int) string {
	var failure net.Error
	mayEnd := a.endedAt.After(s.signaledAt) || s.plan.idleConnections > 0
	if errors.As(a.err, &failure) && failure.Timeout() {
		s.t.Errorf("never answered: %s", a.identity)
	}
	if !mayEnd && a.sentCompletely {
		s.t.Errorf("connection closed without a response: %s %s: %v", a.protocol, a.identity, a.err)
	}
	if a.class == "nom-submit" && a.sentCompletely && runs > 0 {
		s.t.Errorf("ran, but its caller got no response: %s: %v", a.identity, a.err)
	}
	return "connection closed"
}

// checkProcess checks that the process did not panic and stayed within its memory and descriptor limits.
func (s *soakRun) checkProcess() {
	log := s.log()
	assert.NotContains(s.t, log, "panic:")
	assert.NotContains(s.t, log, "fatal error:")
	assert.NotContains(s.t, log, "too many open files")
	assert.LessOrEqual(s.t, s.peakMemory, soakMemoryMB<<10, "KB of memory")
	// The kernel enforces the limit, so a process that reaches it has run out of descriptors.
	assert.Less(s.t, s.peakSockets, soakSockets, "descriptors")
}
