package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rejectReasons are the reasons of the rejections among the actions.
func rejectReasons(actions []Action) (reasons []RejectReason) {
	for _, a := range actions {
		if a, ok := a.(Reject); ok {
			reasons = append(reasons, a.Reason)
		}
	}
	return reasons
}

// newLateArrival is read long after it arrived, so that it can't be answered within its objective.
func newLateArrival(id uint32) Arrival {
	a := newArrival(id, 1)
	a.Age = 900 * ms // of an objective of a second
	return a
}

// rejectionScenarios has, for each rule, a play in which the rule alone rejects request 1.
var rejectionScenarios = map[RejectReason]struct {
	change   func(*Settings)
	scenario func(r *driver) []Action
}{
	RejectDrainGraceOver: {nil, func(r *driver) []Action {
		r.handleAfter(0, Drain{StopIn: 5 * time.Second})
		return r.handleAfter(r.controller.settings.DrainGracePeriod+ms, newArrival(1, 1))
	}},
	RejectMemoryFull: {func(s *Settings) { s.MemoryKB = 11 }, func(r *driver) []Action {
		return r.handleAfter(0, newArrival(1, 1))
	}},
	RejectLateInDrain: {nil, func(r *driver) []Action {
		r.handleAfter(0, Drain{StopIn: 500 * ms})
		return r.handleAfter(400*ms, newArrival(1, 1))
	}},
	RejectExpiredOnArrival: {nil, func(r *driver) []Action {
		a := newArrival(1, 1)
		a.Timeout, a.Age = 0, 3*time.Second // of two
		return r.handleAfter(0, a)
	}},
	RejectLateCallsBacklogged: {
		func(s *Settings) { enableCalls(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, 1, 8 },
		func(r *driver) []Action {
			r.handleAfter(0, newArrival(11, 1), newArrival(12, 1), newArrival(13, 1), newArrival(14, 1))
			r.handleAfter(ms, CallNeeded{11}, CallNeeded{12}, CallNeeded{13}, CallNeeded{14})
			return r.handleAfter(ms, newLateArrival(1))
		},
	},
	RejectLateOverloaded: {nil, func(r *driver) []Action {
		r.handleAfter(0, newArrival(2, 1))
		r.controller.rejectedFraction = lateRejectedFraction + 0.1
		return r.handleAfter(0, newLateArrival(1))
	}},
	RejectPolicy: {nil, func(r *driver) []Action {
		r.fillCores()
		return r.handleAfter(0, newArrival(1, 0))
	}},
	RejectOriginalNotRun: {enableDeduplication, func(r *driver) []Action {
		duplicate := newArrival(1, 1)
		duplicate.DuplicateOf = 2
		return r.handleAfter(0, newArrival(2, 1), Canceled{2}, duplicate)
	}},
	RejectExpiredInQueue: {nil, func(r *driver) []Action {
		r.fillCores()
		r.handleAfter(0, newArrival(1, 1))
		return r.handleAfter(950*ms, TimerFired{TimerID: r.controller.timerID}) // the work hangs
	}},
}

// TestEachRuleNamesItself: on-call staff take a limit for a fault, or the other way round,
// if a rejection names another rule than the one that rejected.
func TestEachRuleNamesItself(t *testing.T) {
	names := map[string]RejectReason{}
	for reason := RejectReasonNone + 1; reason < rejectReasonCount; reason++ {
		t.Run(reason.String(), func(t *testing.T) {
			tt, ok := rejectionScenarios[reason]
			require.True(t, ok, "no play")
			require.Equal(t, []RejectReason{reason}, rejectReasons(tt.scenario(newDriver(t, tt.change))))
		})
		require.NotEmpty(t, reason.String())
		require.NotContains(t, names, reason.String())
		names[reason.String()] = reason
	}
	require.Equal(t, "reject_reason(200)", RejectReason(200).String())
}

// maxAllocsPerRejection is what one call of Handle allocates that reads a request and rejects
// it: the event, the request, the action and the slice of actions. It was measured on the
// code that named no reason.
const maxAllocsPerRejection = 4

// TestReasonAllocatesNothing: the name of the rule costs the policy an allocation for each
// decision, under load, when it must not.
func TestReasonAllocatesNothing(t *testing.T) {
	r := newDriver(t, nil)
	r.fillCores()
	id := uint32(1000)
	events := make([]Event, 1)
	allocs := testing.AllocsPerRun(200, func() {
		id++
		events[0] = newArrival(id, 0)
		if countActions[Reject](r.controller.Handle(r.now, events)) != 1 {
			t.Fatal("not rejected")
		}
	})
	require.LessOrEqual(t, allocs, float64(maxAllocsPerRejection))
}
