package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFreeCoresRunAtOnce(t *testing.T) {
	r := newTestController(t, nil)
	r.wantActions(r.handleAfter(0, newArrival(1, 0)), Run{1})
	r.wantActions(r.handleAfter(ms, Completed{ID: 1, Elapsed: ms, Outcome: OutcomeOK}))
	if len(r.controller.requests) != 0 || r.controller.requestsKB != 0 {
		t.Errorf("%d requests and %v kB remain, want none", len(r.controller.requests), r.controller.requestsKB)
	}
}

func TestReadDelayLowersLimit(t *testing.T) {
	r := newTestController(t, func(s *Settings) { s.Cores = 6 })
	for i := uint32(1); i < 40; i++ {
		a := newArrival(i, 0)
		a.Age = 600 * ms
		r.handleAfter(0, a)
	}
	for i := 0; i < 8; i++ {
		r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 12}})
	}
	if r.controller.concurrencyLimit != 2 {
		t.Errorf("concurrency limit %d while requests wait too long to be read, want a third of the cores", r.controller.concurrencyLimit)
	}
	r.controller.readDelayFraction = 0
	for i := 0; i < 8; i++ {
		r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 12}})
	}
	if r.controller.concurrencyLimit != 6 {
		t.Errorf("concurrency limit %d after the read delay recovered, want the number of cores", r.controller.concurrencyLimit)
	}
}

func TestLimitGrowsOnlyWhileCoresWouldBeIdle(t *testing.T) {
	for name, tt := range map[string]struct {
		runQueue float64
		calls    uint32
		want     int
	}{
		"idle core":                     {1, 0, 3},
		"no idle core":                  {2, 0, 2},
		"idle core reserved for a call": {1, 1, 2},
		"more idle cores than are reserved for a call": {0, 1, 3},
	} {
		r := newTestController(t, func(s *Settings) { enableCalls(s); s.Dependency = DependencyNextTier })
		for i := uint32(1); i <= tt.calls; i++ {
			r.handleAfter(0, newArrival(i, 0))
			r.handleAfter(0, CallNeeded{i})
		}
		r.handleAfter(0, newArrival(11, 0), newArrival(12, 0), newArrival(13, 0))
		r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 0.5, RunQueue: tt.runQueue}})
		if r.controller.concurrencyLimit != tt.want {
			t.Errorf("%s: concurrency limit %d, want %d", name, r.controller.concurrencyLimit, tt.want)
		}
	}
}

func TestCallsReserveCores(t *testing.T) {
	r := newTestController(t, func(s *Settings) { enableCalls(s); s.Dependency = DependencyNextTier })
	for i := uint32(1); i <= 4; i++ { // four calls in flight reserve one of the two cores
		r.handleAfter(0, newArrival(i, 0))
		r.handleAfter(0, CallNeeded{i})
	}
	r.wantActions(r.handleAfter(0, newArrival(5, 0)), Run{5})
	if got := r.handleAfter(0, newArrival(6, 1)); countActions[Run](got) != 0 {
		t.Errorf("actions %v, want no run: one run and four calls in flight use both cores", got)
	}
}

// TestLimitGrowsByFreeCores: the limit grows by all idle cores in one gauge tick. Growth by one per
// gauge tick would reject requests for seconds while cores are idle.
func TestLimitGrowsByFreeCores(t *testing.T) {
	r := newTestController(t, func(s *Settings) { s.Cores = 8 })
	for i := range uint32(12) {
		r.handleAfter(0, newArrival(i+1, 1))
	}
	r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 0.6, RunQueue: 3}})
	require.Equal(t, 13, r.controller.concurrencyLimit)
	r.controller.limitReached = true
	r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 0.98, RunQueue: 8}})
	require.Equal(t, 13, r.controller.concurrencyLimit, "the limit must not grow while the cores are nearly busy")
}
