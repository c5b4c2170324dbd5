package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGivenUpIsAnsweredAtOnce: what the module gives up on is refused in the
// same call, with advice when to come back, and what is held is refused when
// its worth is lost, long before its due time.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, nil)
	r.fill()
	r.c.estimator.episode = 2 // μ is measured
	got := r.at(ms, ask(1, 0))
	require.Len(t, got, 1)
	refused, ok := got[0].(Reject)
	require.True(t, ok, "%#v", got)
	require.Positive(t, refused.RetryAfter)
	require.LessOrEqual(t, refused.RetryAfter, r.c.settings.MaxRetryAfter)

	r = newRig(t, nil)
	for i := range uint32(r.c.concurrencyLimit + 1) { // one more than run
		r.at(0, ask(i+1, 1))
	}
	held := r.c.requests[len(r.c.requests)-1]
	require.Equal(t, phaseQueued, held.phase)
	r.c.estimator.episode = 2
	for at := time.Duration(0); r.c.byID[held.id] != nil; at += 4 * ms {
		require.Less(t, at, held.objective-held.arrivedAt, "held past its aim")
		for _, a := range r.at(4*ms, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 1}}) {
			if a, ok := a.(Reject); ok && a.ID == held.id {
				require.Positive(t, a.RetryAfter)
				return
			}
		}
	}
	t.Fatal("the held request ended without a refusal")
}

// TestPastDueNeverRuns: a request that is read after its due time is refused,
// also by an idle server. Run, it would have its effect and be failed at once.
func TestPastDueNeverRuns(t *testing.T) {
	r := newRig(t, nil)
	a := ask(1, 1)
	a.Timeout, a.Age = 0, 3*time.Second // of two
	got := r.at(0, a)
	require.Len(t, got, 1)
	require.IsType(t, Reject{}, got[0])
}

// TestWithdrawnCountsAsNeverCome: hundreds of requests that are taken back, or
// that nobody could run, leave the estimates as they were.
func TestWithdrawnCountsAsNeverCome(t *testing.T) {
	r := newRig(t, nil)
	for i := range uint32(50) {
		r.at(20*ms, ask(i+1, 0), Canceled{i + 1})
		r.at(0, ask(i+101, 1), Canceled{i + 101})
	}
	require.Zero(t, r.c.recentArrivalRate())
	require.Zero(t, r.c.estimator.totalCount)
	require.Equal(t, 1, r.c.estimator.arrivals, "the last gap is still open")

	r = newRig(t, nil)
	for i := range uint32(20) {
		r.at(20*ms, ask(i+1, 0))
		r.at(0, Completed{ID: i + 1, Outcome: OutcomeOK})
		gap, done := r.c.estimator.meanGap, r.c.runTimes.completed
		for j := range uint32(9) {
			r.want(r.at(0, ask(1000, 1)), Run{1000})
			r.at(0, Completed{ID: 1000, Outcome: OutcomeNotStarted})
			require.InDelta(t, gap, r.c.estimator.meanGap, 1e-9, "%d", j)
			require.Equal(t, done, r.c.runTimes.completed)
		}
	}
	require.Equal(t, 20.0, r.c.estimator.totalCount)
}

// TestLimitGrowsByTheCoresThatAreFree: a limit that grew by one a tick would turn
// requests away for seconds while cores idle.
func TestLimitGrowsByTheCoresThatAreFree(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Cores = 8 })
	for i := range uint32(12) {
		r.at(0, ask(i+1, 1))
	}
	r.at(gaugeInterval, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 0.6, RunQueue: 3}})
	require.Equal(t, 13, r.c.concurrencyLimit)
	r.c.limitReached = true
	r.at(gaugeInterval, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 0.98, RunQueue: 8}})
	require.Equal(t, 13, r.c.concurrencyLimit, "no one waits for what is nearly busy")
}

// TestVainOnlyWhereOthersRefuse: a server that refuses a third of what it reads tells
// callers to try no other only if what others refused comes in too: in a fleet of
// hundreds, one that many keys lead to is full while most have room.
func TestVainOnlyWhereOthersRefuse(t *testing.T) {
	for name, k := range map[string]struct {
		repeats  int // in 60 requests that find it idle
		refused  float64
		marked   bool
		terminal bool
	}{
		"others have room":              {0, 0.35, true, false},
		"others refuse too":             {12, 0.35, true, true},
		"few refusals here":             {12, 0.1, true, false},
		"most is refused, all over":     {0, 0.6, true, true},
		"no caller marks further tries": {0, 0.35, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(s *Settings) { s.RetriesMarked = k.marked })
			for i := range uint32(60) {
				a := ask(i+1, 1)
				a.Retry = int(i)%5 == 0 && int(i)/5 < k.repeats
				r.at(20*ms, a)
				r.at(ms, Completed{ID: a.ID, Outcome: OutcomeOK, Elapsed: ms})
			}
			r.fill()
			r.c.rejectedFraction = k.refused
			got := r.at(ms, ask(99, 0))
			require.Len(t, got, 1)
			require.IsType(t, Reject{}, got[0])
			require.Equal(t, k.terminal, got[0].(Reject).DoNotRetry)
		})
	}
}
