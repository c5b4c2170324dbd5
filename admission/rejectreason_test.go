package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rejectReasons returns the reasons of the Reject actions.
func rejectReasons(actions []Action) (reasons []RejectReason) {
	for _, a := range actions {
		if a, ok := a.(Reject); ok {
			reasons = append(reasons, a.Reason)
		}
	}
	return reasons
}

// newLateArrival returns a request that was read too late to be answered within its latency
// objective.
func newLateArrival(id uint32) Arrival {
	event := newArrival(id, 1)
	event.Age = 900 * ms // the latency objective is 1 s
	return event
}

// rejectionScenarios has, for each reason, a scenario in which only that rule rejects request 1.
var rejectionScenarios = map[RejectReason]struct {
	change   func(*Settings)
	scenario func(r *testController) []Action
}{
	RejectDrainGraceOver: {nil, func(r *testController) []Action {
		r.handleAfter(0, Drain{StopIn: 5 * time.Second})
		return r.handleAfter(r.controller.settings.DrainGracePeriod+ms, newArrival(1, 1))
	}},
	RejectMemoryFull: {func(s *Settings) { s.MemoryKB = 11 }, func(r *testController) []Action {
		return r.handleAfter(0, newArrival(1, 1))
	}},
	RejectLateInDrain: {nil, func(r *testController) []Action {
		r.handleAfter(0, Drain{StopIn: 500 * ms})
		return r.handleAfter(400*ms, newArrival(1, 1))
	}},
	RejectExpiredOnArrival: {nil, func(r *testController) []Action {
		a := newArrival(1, 1)
		a.Timeout, a.Age = 0, 3*time.Second // the deadline of the class is 2 s
		return r.handleAfter(0, a)
	}},
	RejectLateCallsBacklogged: {
		func(s *Settings) { enableCalls(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, 1, 8 },
		func(r *testController) []Action {
			r.handleAfter(0, newArrival(11, 1), newArrival(12, 1), newArrival(13, 1), newArrival(14, 1))
			r.handleAfter(ms, CallNeeded{11}, CallNeeded{12}, CallNeeded{13}, CallNeeded{14})
			return r.handleAfter(ms, newLateArrival(1))
		},
	},
	RejectLateOverloaded: {nil, func(r *testController) []Action {
		r.handleAfter(0, newArrival(2, 1))
		r.controller.rejectedFraction = lateRejectedFraction + 0.1
		return r.handleAfter(0, newLateArrival(1))
	}},
	RejectPolicy: {nil, func(r *testController) []Action {
		r.fillCores()
		return r.handleAfter(0, newArrival(1, 0))
	}},
	RejectOriginalNotRun: {enableDeduplication, func(r *testController) []Action {
		duplicate := newArrival(1, 1)
		duplicate.DuplicateOf = 2
		return r.handleAfter(0, newArrival(2, 1), Canceled{2}, duplicate)
	}},
	RejectExpiredInQueue: {nil, func(r *testController) []Action {
		r.fillCores()
		r.handleAfter(0, newArrival(1, 1))
		return r.handleAfter(950*ms, TimerFired{TimerID: r.controller.timerID}) // the runs hang
	}},
}

// TestEachRuleReportsItsReason: a Reject action carries the reason of the rule that rejected the
// request. With a wrong reason operators mistake a limit for a fault, or a fault for a limit.
func TestEachRuleReportsItsReason(t *testing.T) {
	names := map[string]RejectReason{}
	for reason := RejectReasonNone + 1; reason < rejectReasonCount; reason++ {
		t.Run(reason.String(), func(t *testing.T) {
			tt, ok := rejectionScenarios[reason]
			require.True(t, ok, "no scenario for this reason")
			require.Equal(t, []RejectReason{reason}, rejectReasons(tt.scenario(newTestController(t, tt.change))))
		})
		require.NotEmpty(t, reason.String())
		require.NotContains(t, names, reason.String())
		names[reason.String()] = reason
	}
	require.Equal(t, "reject_reason(200)", RejectReason(200).String())
}

// maxAllocsPerRejection is the number of allocations of one call of Handle that reads and rejects a
// request: the event, the request, the action and the slice of actions. The
// reason must add none to them.
const maxAllocsPerRejection = 4

// TestReasonAllocatesNothing: reporting the reason must not cost an allocation per decision, which
// would slow down the server under load.
func TestReasonAllocatesNothing(t *testing.T) {
	r := newTestController(t, nil)
	r.fillCores()
	id := uint32(1000)
	events := make([]Event, 1)
	allocs := testing.AllocsPerRun(200, func() {
		id++
		events[0] = newArrival(id, 0)
		if countActions[Reject](r.controller.Handle(r.now, events)) != 1 {
			t.Fatal("request was not rejected")
		}
	})
	require.LessOrEqual(t, allocs, float64(maxAllocsPerRejection))
}
