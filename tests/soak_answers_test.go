package tests

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/standin"
)

const (
	logTimeLayout     = "2006-01-02T15:04:05.000Z0700"
	logTimeResolution = time.Millisecond
)

// failedRunMessages are the messages of log lines that report the failure of a run with its trace id.
var failedRunMessages = []string{"run given up, its engine connection was lost", "run failed", "upstream failed a run"}

// checkFailedRuns checks that a failure is answered within soakSocketDelay: after the log line for a run that
// the program fails, after the end of the call for a nom-submit whose call may have taken effect, and after the
// last byte for a request that arrives after the drain grace period. It returns the number of failed runs.
func (s *soakRun) checkFailedRuns() int {
	failedAt := s.failedRunTimes()
	for _, a := range s.attempts {
		if a.abandoned || a.err != nil {
			continue
		}
		if at, ok := failedAt[a.trace]; ok {
			s.checkPromptResponse(a, at.Add(logTimeResolution), "its run failed")
		}
		if a.class == "nom-submit" {
			s.checkCalls(a)
		}
		if a.sentAt.After(s.signaledAt.Add(soakDrainGrace + soakSocketDelay)) {
			s.checkPromptResponse(a, a.sentAt, "it arrived after the grace period")
		}
	}
	return len(failedAt)
}

// checkCalls checks that a call of a nom-submit is repeated only if the call before it was rejected, and so
// never ran.
func (s *soakRun) checkCalls(a *soakAttempt) {
	calls := s.records.calls[a.trace]
	for i, call := range calls {
		if call.result != standin.CallRejected && i+1 < len(calls) {
			s.t.Errorf("call repeated after %q: %s", call.result, a.identity)
		}
		if call.result == standin.CallFailed || call.result == standin.CallLost {
			s.checkPromptResponse(a, call.at, "its call failed")
		}
	}
}

func (s *soakRun) checkPromptResponse(a *soakAttempt, at time.Time, why string) {
	limit := soakSocketDelay + s.stalls.totalBetween(at, a.endedAt)
	if late := a.endedAt.Sub(at); late > limit {
		s.t.Errorf("answered %v after %s, limit %v: %s", late, why, limit, a.identity)
	}
}

// failedRunTimes returns the logged failure time of each failed run, by trace id.
func (s *soakRun) failedRunTimes() map[string]time.Time {
	at := map[string]time.Time{}
	for line := range strings.Lines(s.log()) {
		var entry struct {
			Message string `json:"msg"`
			TraceID string `json:"trace_id"`
			Time    string `json:"ts"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil || !slices.Contains(failedRunMessages, entry.Message) {
			continue
		}
		logged, err := time.Parse(logTimeLayout, entry.Time)
		require.NoError(s.t, err)
		at[entry.TraceID] = logged
	}
	return at
}
