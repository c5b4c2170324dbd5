package maintenance

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOrderDurations: how long an order of 300 machines of different lengths takes as it is
// carried out, beside its plan, what no plan can be shorter than, one at a time, and fixed
// batches of the same limit. All in virtual time, of one seed.
func TestOrderDurations(t *testing.T) {
	s := newSimulation(t, 1, 300)
	s.faultsUntil = 0
	l := simulationBudget(300)
	q := PlanInput{Budget: l, ZoneCapacity: map[string]float64{}, Seed: 1, MaxSchedules: 3}
	var one, batches, longest time.Duration
	for i, m := range s.machines {
		q.TotalCapacity += m.Capacity()
		q.ZoneCapacity[m.Zone] += m.Capacity()
		s.orders[m.Name].DurationMS = 60_000 + s.rng.Int64N(540_000)
		length := time.Duration(s.orders[m.Name].DurationMS) * time.Millisecond
		q.Tasks = append(q.Tasks, PlanTask{Machine: m.Name, Zone: m.Zone, Capacity: m.Capacity(), Duration: length})
		one += length
		if longest = max(longest, length); (i+1)%l.MaxOut == 0 {
			batches, longest = batches+longest, 0
		}
	}
	p, err := ComputePlan(q)
	require.NoError(t, err)
	require.True(t, s.finish(l))
	took := time.Duration(s.now) * time.Millisecond
	t.Logf("| as carried out (half to all of the asked time each) | %v |", took)
	t.Logf("| plan (all of the asked time each) | %v |", p.Duration.Round(time.Second))
	t.Logf("| bound | %v |", p.LowerBound.Round(time.Second))
	t.Logf("| batches of %d | %v |", l.MaxOut, batches.Round(time.Second))
	t.Logf("| one at a time | %v |", one.Round(time.Second))
	assert.Less(t, p.Duration, batches)
	assert.Less(t, took, batches)
}

// BenchmarkDecide is one decision on machines of which a third is asked for, and what it
// has to read.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := Observation{Machines: newMachines(n), Budget: simulationBudget(n), NowMS: 1}
			for i, m := range v.Machines {
				if i%3 == 0 {
					v.Orders = append(v.Orders, Order{Machine: m.Name, Reason: "kernel", DurationMS: 60_000, Phase: PhaseRequested, Ticket: uint64(i), RequestedMS: 1_800_000_000_000})
				}
			}
			text, err := json.Marshal(v)
			require.NoError(b, err)
			for b.Loop() {
				Decide(v)
			}
			b.ReportMetric(float64(len(text)), "bytes-read")
		})
	}
}
