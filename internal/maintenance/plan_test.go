package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPlan checks on random input that a plan stays within the budget at all times and is not shorter than its lower
// bound, and that an exhaustive plan is not longer than the schedule of a random list.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := PlanInput{Budget: simulationBudget(60), ZoneCapacity: map[string]float64{}, MaxSchedules: 200}
		input.Budget.MaxOut, input.Budget.MaxOutPerZone = rapid.IntRange(1, 6).Draw(t, "max out"), rapid.IntRange(1, 3).Draw(t, "max out per zone")
		for _, m := range newMachines(60) {
			input.TotalCapacity += m.Capacity()
			input.ZoneCapacity[m.Zone] += m.Capacity()
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "tasks") {
			input.Tasks = append(input.Tasks, PlanTask{Machine: fmt.Sprint("m", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")),
				Capacity: float64(rapid.IntRange(1, 4).Draw(t, "cores")), Duration: time.Duration(rapid.IntRange(1, 50).Draw(t, "minutes")) * time.Minute})
		}
		plan, err := ComputePlan(input)
		require.NoError(t, err)
		assert.Len(t, plan.Schedule, len(input.Tasks))
		assert.GreaterOrEqual(t, plan.Duration, plan.LowerBound)
		for i, task := range plan.Schedule {
			others := append(append([]ScheduledTask(nil), plan.Schedule[:i]...), plan.Schedule[i+1:]...)
			assert.True(t, input.fits(others, task.PlanTask, task.Start), task.Machine)
		}
		shuffled := make([]PlanTask, 0, len(input.Tasks))
		for _, i := range rand.Perm(len(input.Tasks)) {
			shuffled = append(shuffled, input.Tasks[i])
		}
		if randomPlan, err := input.buildSchedule(nil, shuffled, 1<<62); err == nil && plan.Exhaustive {
			assert.LessOrEqual(t, plan.Duration, randomPlan.Duration)
		}
	})
}

// TestPlanConstraints checks that machines already out keep their times, that machines start in a window only, that
// machines with copies of the same replica group are not out together, and that an impossible plan is an error.
func TestPlanConstraints(t *testing.T) {
	input := PlanInput{Budget: DefaultDisruptionBudget(), TotalCapacity: 100, ZoneCapacity: map[string]float64{"z": 100}}
	input.Budget.MaxOut, input.Budget.MaxOutPerZone = 2, 2
	input.Windows = []StartWindow{{time.Hour, 2 * time.Hour}, {25 * time.Hour, 26 * time.Hour}}
	input.Tasks = []PlanTask{{Machine: "a", Zone: "z", Capacity: 1, AlreadyOut: true, Remaining: 90 * time.Minute, ReplicaGroups: []string{"r"}},
		{Machine: "b", Zone: "z", Capacity: 1, Duration: time.Hour, ReplicaGroups: []string{"r"}}, {Machine: "c", Zone: "z", Capacity: 1, Duration: time.Hour}}
	plan, err := ComputePlan(input)
	require.NoError(t, err)
	starts := map[string]time.Duration{}
	for _, task := range plan.Schedule {
		starts[task.Machine] = task.Start
	}
	assert.Equal(t, map[string]time.Duration{"a": 0, "b": 90 * time.Minute, "c": time.Hour}, starts)
	input.Windows = []StartWindow{{0, time.Minute}}
	_, err = ComputePlan(input)
	assert.ErrorIs(t, err, ErrNoPlan)
}

// voterStatus returns the status of a fleet in which each machine is a voter with an order of an hour. Only the voters
// limit how many may be out at a time.
func voterStatus(voters int) Status {
	status := Status{Budget: DefaultDisruptionBudget()}
	status.Budget.MaxOut, status.Budget.MaxOutPerZone = voters, voters
	status.Budget.MaxCapacityFraction, status.Budget.MaxZoneCapacityFraction = 1, 1
	for i, order := range newOrders("m0", "m1", "m2", "m3", "m4", "m5", "m6")[:voters] {
		order.DurationMS = time.Hour.Milliseconds()
		status.Orders = append(status.Orders, OrderStatus{Order: order})
		machine := newMachines(voters)[i]
		machine.IsVoter = true
		status.Machines = append(status.Machines, machine)
	}
	return status
}

// TestPlanKeepsVoters guards against a plan that takes out more voters at a time than the budget allows, and so ends
// hours too early.
func TestPlanKeepsVoters(t *testing.T) {
	status := voterStatus(7) // a quorum of 4 and one spare voter stay in service, so two may be out
	plan, err := ComputePlan(PlanInputFrom(status, 0))
	require.NoError(t, err)
	assert.Equal(t, 4*time.Hour, plan.Duration)
	status.Orders[0].Phase = PhaseOut // it has an hour and a half left
	status.Orders[0].DurationMS = (90 * time.Minute).Milliseconds()
	plan, err = ComputePlan(PlanInputFrom(status, 0))
	require.NoError(t, err)
	for _, task := range plan.Schedule {
		atStart := 0
		for _, other := range plan.Schedule {
			if other.Start <= task.Start && task.Start < other.End {
				atStart++
			}
		}
		assert.LessOrEqual(t, atStart, 2, task.Machine)
	}
}

// TestPlanReportsVoterShortage guards against a plan that doesn't say that its voters can't be taken out: an operator
// would wait for a grant that never comes.
func TestPlanReportsVoterShortage(t *testing.T) {
	input := PlanInputFrom(voterStatus(3), 0)
	assert.Equal(t, "2 of the store's 3 voters would stay, want 3", input.VoterShortage())
	plan, err := ComputePlan(input)
	require.NoError(t, err, "the plan assumes that an operator lowers voter_spare during the maintenance")
	assert.Equal(t, 3*time.Hour, plan.Duration, "one voter at a time")
	assert.Empty(t, PlanInputFrom(voterStatus(7), 0).VoterShortage())
	noVoterWaits := voterStatus(3)
	noVoterWaits.Orders = nil
	assert.Empty(t, PlanInputFrom(noVoterWaits, 0).VoterShortage())
}
