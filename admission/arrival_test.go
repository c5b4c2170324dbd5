package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnknownTimeoutMeansClassDeadline(t *testing.T) {
	r := newTestController(t, nil)
	a := newArrival(1, 0)
	a.Timeout, a.Age = 0, 500*ms
	r.handleAfter(0, a)
	if got, want := r.controller.byID[1].deadline, r.now+1500*ms; got != want {
		t.Errorf("deadline %v, want %v", got, want)
	}
}

// TestWithdrawnArrivalsLeaveEstimatesUnchanged: canceled requests and requests whose run could not
// be started leave the arrival statistics unchanged, even by the hundred.
func TestWithdrawnArrivalsLeaveEstimatesUnchanged(t *testing.T) {
	r := newTestController(t, nil)
	for i := range uint32(50) {
		r.handleAfter(20*ms, newArrival(i+1, 0), Canceled{i + 1})
		r.handleAfter(0, newArrival(i+101, 1), Canceled{i + 101})
	}
	require.Zero(t, r.controller.recentArrivalRate())
	require.Zero(t, r.controller.estimator.totalCount)
	require.Equal(t, 1, r.controller.estimator.arrivals, "the open interarrival time counts as one arrival")

	r = newTestController(t, nil)
	for i := range uint32(20) {
		r.handleAfter(20*ms, newArrival(i+1, 0))
		r.handleAfter(0, Completed{ID: i + 1, Outcome: OutcomeOK})
		meanGap, completed := r.controller.estimator.meanInterarrivalSeconds, r.controller.runTimes.completed
		for j := range uint32(9) {
			r.wantActions(r.handleAfter(0, newArrival(1000, 1)), Run{1000})
			r.handleAfter(0, Completed{ID: 1000, Outcome: OutcomeNotStarted})
			require.InDelta(t, meanGap, r.controller.estimator.meanInterarrivalSeconds, 1e-9, "%d", j)
			require.Equal(t, completed, r.controller.runTimes.completed)
		}
	}
	require.Equal(t, 20.0, r.controller.estimator.totalCount)
}
