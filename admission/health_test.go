package admission

import (
	"testing"
)

func TestStarvedServerIsUnhealthyUntilReadDelayFades(t *testing.T) {
	r := newTestController(t, nil)
	for i := uint32(1); i < 60; i++ {
		a := newArrival(i, 0)
		a.Age = 900 * ms
		r.handleAfter(ms, a)
	}
	r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 4}})
	if r.controller.healthy {
		t.Error("server is healthy although requests wait 0.9 of their latency objective to be read")
	}
	for i := 0; i < 40; i++ {
		var events []Event
		for _, q := range r.controller.requests {
			events = append(events, Completed{ID: q.id, Outcome: OutcomeOK})
		}
		r.handleAfter(gaugeInterval, append(events, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 0}})...)
	}
	if !r.controller.healthy {
		t.Error("server is still unhealthy ten seconds after the last request")
	}
}
