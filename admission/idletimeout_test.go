package admission

import (
	"reflect"
	"testing"
	"time"
)

func TestIdleTimeout(t *testing.T) {
	timeouts := func(callers int, rejected float64) []time.Duration {
		r := newTestController(t, func(s *Settings) { s.Callers, s.MaxIdleTimeout = callers, 30*time.Second })
		var got []time.Duration
		for i := 0; i < 80; i++ {
			if i > 0 {
				r.controller.rejectedFraction = rejected
			}
			for _, a := range r.handleAfter(gaugeInterval, TimerFired{TimerID: r.controller.timerID}) {
				if a, ok := a.(SetIdleTimeout); ok {
					got = append(got, a.Timeout)
				}
			}
		}
		return got
	}
	if got := timeouts(32, 1); got != nil {
		t.Errorf("few callers: idle timeouts %v, want none set", got)
	}
	if got := timeouts(1000, 0); !reflect.DeepEqual(got, []time.Duration{minIdleTimeout}) {
		t.Errorf("many callers: idle timeouts %v, want only the minimum", got)
	}
	if got := timeouts(1000, 1); got[len(got)-1] != 30*time.Second || len(got) > 10 {
		t.Errorf("all requests rejected: idle timeouts %v, want the maximum after at most 10 changes", got)
	}
}
