package maintenance

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOrderDurations measures in virtual time, for one seed, how long the maintenance of 300 machines with different
// durations takes. It logs the simulated time, the plan and its lower bound, the time of fixed batches of MaxOut
// machines, and that of one machine at a time. The plan and the simulation must be shorter than the batches.
func TestOrderDurations(t *testing.T) {
	sim := newSimulation(t, 1, 300)
	sim.faultsUntilMS = 0
	budget := simulationBudget(300)
	input := PlanInput{Budget: budget, ZoneCapacity: map[string]float64{}, Seed: 1, MaxSchedules: 3}
	var sequential, batched, longestInBatch time.Duration
	for i, m := range sim.machines {
		input.TotalCapacity += m.Capacity()
		input.ZoneCapacity[m.Zone] += m.Capacity()
		sim.orders[m.Name].DurationMS = 60_000 + sim.rng.Int64N(540_000)
		duration := time.Duration(sim.orders[m.Name].DurationMS) * time.Millisecond
		input.Tasks = append(input.Tasks, PlanTask{Machine: m.Name, Zone: m.Zone, Capacity: m.Capacity(), Duration: duration})
		sequential += duration
		if longestInBatch = max(longestInBatch, duration); (i+1)%budget.MaxOut == 0 {
			batched, longestInBatch = batched+longestInBatch, 0
		}
	}
	plan, err := ComputePlan(input)
	require.NoError(t, err)
	require.True(t, sim.finish(budget))
	simulated := time.Duration(sim.nowMS) * time.Millisecond
	t.Logf("| simulated (each machine takes half to all of its order's duration) | %v |", simulated)
	t.Logf("| plan (each machine takes its order's whole duration) | %v |", plan.Duration.Round(time.Second))
	t.Logf("| lower bound | %v |", plan.LowerBound.Round(time.Second))
	t.Logf("| batches of %d | %v |", budget.MaxOut, batched.Round(time.Second))
	t.Logf("| one at a time | %v |", sequential.Round(time.Second))
	assert.Less(t, plan.Duration, batched)
	assert.Less(t, simulated, batched)
}

// BenchmarkDecide measures one decision for machines of which a third have an order, and reports the encoded size of
// its input.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			obs := Observation{Machines: newMachines(n), Budget: simulationBudget(n), NowMS: 1}
			for i, m := range obs.Machines {
				if i%3 == 0 {
					obs.Orders = append(obs.Orders, Order{Machine: m.Name, Reason: "kernel", DurationMS: 60_000, Phase: PhaseRequested, Ticket: uint64(i), RequestedMS: 1_800_000_000_000})
				}
			}
			text, err := json.Marshal(obs)
			require.NoError(b, err)
			for b.Loop() {
				Decide(obs)
			}
			b.ReportMetric(float64(len(text)), "bytes-read")
		})
	}
}
