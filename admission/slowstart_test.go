package admission

import (
	"testing"
	"time"
)

func TestColdServerSustainsFewerRuns(t *testing.T) {
	r := newTestController(t, func(s *Settings) { s.SlowStart, s.MaxRunsPerCore, s.SlowStartMinSpeed = true, 2, 0 })
	if cold := r.controller.maxRuns(); cold != 2 {
		t.Errorf("at the start: %v runs, want the number of cores", cold)
	}
	r.now += 5 * time.Second
	r.controller.now = r.now
	if half := r.controller.maxRuns(); half != 3 {
		t.Errorf("after half of the slow start: %v runs, want 3", half)
	}
	r.controller.now += 5 * time.Second
	if warm := r.controller.maxRuns(); warm != 4 {
		t.Errorf("after the slow start: %v runs, want 4", warm)
	}
}
