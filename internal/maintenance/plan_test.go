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

// TestPlan: no plan breaks a limit at any moment or is shorter than its bound; of few
// machines none is longer than any other order's.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := PlanInput{Budget: simulationBudget(60), ZoneCapacity: map[string]float64{}, MaxSchedules: 200}
		q.Budget.MaxOut, q.Budget.MaxOutPerZone = rapid.IntRange(1, 6).Draw(t, "most"), rapid.IntRange(1, 3).Draw(t, "most in a zone")
		for _, m := range newMachines(60) {
			q.TotalCapacity += m.Capacity()
			q.ZoneCapacity[m.Zone] += m.Capacity()
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "tasks") {
			q.Tasks = append(q.Tasks, PlanTask{Machine: fmt.Sprint("m", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")),
				Capacity: float64(rapid.IntRange(1, 4).Draw(t, "cores")), Duration: time.Duration(rapid.IntRange(1, 50).Draw(t, "length")) * time.Minute})
		}
		p, err := ComputePlan(q)
		require.NoError(t, err)
		assert.Len(t, p.Schedule, len(q.Tasks))
		assert.GreaterOrEqual(t, p.Duration, p.LowerBound)
		for i, x := range p.Schedule {
			others := append(append([]ScheduledTask(nil), p.Schedule[:i]...), p.Schedule[i+1:]...)
			assert.True(t, q.fits(others, x.PlanTask, x.Start), x.Machine)
		}
		order := make([]PlanTask, 0, len(q.Tasks))
		for _, i := range rand.Perm(len(q.Tasks)) {
			order = append(order, q.Tasks[i])
		}
		if any, err := q.place(nil, order, 1<<62); err == nil && p.Exhaustive {
			assert.LessOrEqual(t, p.Duration, any.Duration)
		}
	})
}

// TestPlanConstraints: who is out stays so, windows are kept, copies never meet, and what can't
// fit is said.
func TestPlanConstraints(t *testing.T) {
	q := PlanInput{Budget: DefaultDisruptionBudget(), TotalCapacity: 100, ZoneCapacity: map[string]float64{"z": 100}}
	q.Budget.MaxOut, q.Budget.MaxOutPerZone = 2, 2
	q.Windows = []StartWindow{{time.Hour, 2 * time.Hour}, {25 * time.Hour, 26 * time.Hour}}
	q.Tasks = []PlanTask{{Machine: "a", Zone: "z", Capacity: 1, AlreadyOut: true, Remaining: 90 * time.Minute, ReplicaGroups: []string{"r"}},
		{Machine: "b", Zone: "z", Capacity: 1, Duration: time.Hour, ReplicaGroups: []string{"r"}}, {Machine: "c", Zone: "z", Capacity: 1, Duration: time.Hour}}
	p, err := ComputePlan(q)
	require.NoError(t, err)
	at := map[string]time.Duration{}
	for _, x := range p.Schedule {
		at[x.Machine] = x.Start
	}
	assert.Equal(t, map[string]time.Duration{"a": 0, "b": 90 * time.Minute, "c": time.Hour}, at)
	q.Windows = []StartWindow{{0, time.Minute}}
	_, err = ComputePlan(q)
	assert.ErrorIs(t, err, ErrNoPlan)
}
