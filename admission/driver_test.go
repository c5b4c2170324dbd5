package admission

import (
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a small server with two cores, a class of low weight and a
// class of high weight.
func testSettings() Settings {
	return Settings{
		MinInterval: 2 * ms, Cores: 2, Servers: 4, Callers: 3,
		Classes: []Class{
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 10},
		},
		MaxRunsPerCore: 8, OverloadWindow: 2 * time.Second, SlowStartMinSpeed: 0.2, SlowStartDuration: 10 * time.Second,
		MemoryKB: 10000, RunMemoryFactor: 4, KeyMemoryKB: 10, AnswerGracePeriod: 60 * ms,
		DrainGracePeriod: time.Second, MaxRetryAfter: time.Second,
		Dependency: DependencyNone, CallWindow: 5 * time.Second, CallLinger: 200 * ms,
	}
}

// testController is a controller with a clock that the test advances.
type testController struct {
	t          *testing.T
	controller *Controller
	now        time.Duration
}

// newTestController returns a testController with testSettings, modified by change if it is not
// nil, after its first call of Handle.
func newTestController(t *testing.T, change func(*Settings)) *testController {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &testController{t: t, controller: c, now: 100 * time.Second}
	r.controller.Handle(r.now, nil)
	return r
}

// handleAfter advances the clock, passes the events to Handle and returns the actions except
// SetTimer and LogMessage.
func (r *testController) handleAfter(after time.Duration, events ...Event) []Action {
	r.now += after
	var out []Action
	for _, a := range r.controller.Handle(r.now, events) {
		switch a.(type) {
		case SetTimer, LogMessage:
		default:
			out = append(out, a)
		}
	}
	return out
}

func (r *testController) wantActions(got []Action, want ...Action) {
	r.t.Helper()
	if len(got) == 0 && len(want) == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		r.t.Errorf("at %v: actions %#v, want %#v", r.now, got, want)
	}
}

func newArrival(id uint32, class int) Arrival {
	return Arrival{ID: id, Class: class, Timeout: 2 * time.Second, MemoryKB: 10}
}

// fillCores starts a run on each of the two cores.
func (r *testController) fillCores() {
	r.t.Helper()
	r.wantActions(r.handleAfter(0, newArrival(901, 1), newArrival(902, 1)), Run{901}, Run{902})
}

func countActions[T Action](actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}
