package maintenance

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenTypes: stored orders, heartbeats, limits, answers and printed plans keep their JSON.
func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "job", Value: &Order{}},
		golden.Sample{Name: "machine", Value: &Machine{}},
		golden.Sample{Name: "limits", Value: &DisruptionBudget{}},
		golden.Sample{Name: "pause", Value: &Pause{}},
		golden.Sample{Name: "beat", Value: &Heartbeat{}},
		golden.Sample{Name: "row", Value: &OrderStatus{}},
		golden.Sample{Name: "status", Value: &Status{}},
		golden.Sample{Name: "report", Value: &PhaseReport{}},
		golden.Sample{Name: "why", Value: &PauseRequest{}},
		golden.Sample{Name: "plan", Value: &Plan{}},
	)
}

// TestGoldenNames: phases, states, default limits and error texts.
func TestGoldenNames(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, PhaseRequested, PhaseGranted, PhaseDraining, PhaseOut, PhaseReturned, PhaseCompleted, PhaseFailed, PhaseAbandoned, PhaseExpired, MachineInService, MachineWarmingUp, MachineUnreachable)
	limits, err := json.Marshal(DefaultDisruptionBudget())
	require.NoError(t, err)
	fmt.Fprintln(&lines, string(limits))
	valid := Order{Machine: "m1", DurationMS: 1000}
	for _, change := range []func(*Order){
		func(*Order) {}, func(j *Order) { j.Machine = "/" }, func(j *Order) { j.DurationMS = 1 }, func(j *Order) { j.Reason = strings.Repeat("x", 201) }, func(j *Order) { j.LatestStartMS = -1 },
	} {
		j := valid
		change(&j)
		fmt.Fprintln(&lines, j.Validate())
	}
	for _, change := range []func(*DisruptionBudget){
		func(*DisruptionBudget) {}, func(l *DisruptionBudget) { l.MaxOut = 0 }, func(l *DisruptionBudget) { l.MaxOutPerZone = 0 }, func(l *DisruptionBudget) { l.MaxCapacityFraction = 0 }, func(l *DisruptionBudget) { l.MaxZoneCapacityFraction = 2 },
		func(l *DisruptionBudget) { l.SpareCapacityFraction = 1 }, func(l *DisruptionBudget) { l.MaxFailures = 0 }, func(l *DisruptionBudget) { l.WarmUpTimeoutMS = 0 }, func(l *DisruptionBudget) { l.AbandonAfterMS = -1 }, func(l *DisruptionBudget) { l.SpareVoters = -1 },
	} {
		l := DefaultDisruptionBudget()
		change(&l)
		fmt.Fprintln(&lines, l.Validate())
	}
	golden.Text(t, "testdata/names.golden", lines.String())
}

// TestGoldenDecisions: what a fleet is told, in all its reasons, word for word: GET /work
// and "work list" show it.
func TestGoldenDecisions(t *testing.T) {
	var lines strings.Builder
	for _, change := range []func(v *Observation){
		func(*Observation) {},
		func(v *Observation) { v.Budget.MaxOut = 1; v.Orders[1].Phase = PhaseOut },
		func(v *Observation) { v.Budget.MaxOutPerZone = 1; v.Orders[2].Phase = PhaseFailed },
		func(v *Observation) { v.Budget.MaxCapacityFraction = 0.09; v.Orders[1].Phase = PhaseDraining },
		func(v *Observation) {
			v.Budget.MaxZoneCapacityFraction = 0.2
			v.Orders[2].Phase, v.Machines[3].State = PhaseReturned, MachineWarmingUp
		},
		func(v *Observation) { v.Budget.SpareCapacityFraction = 0.9 },
		func(v *Observation) { v.Budget.SpareVoters = 1; v.Machines[1].State = MachineUnreachable },
		func(v *Observation) {
			v.Machines[0].ReplicaGroups, v.Machines[1].ReplicaGroups, v.Orders[1].Phase = []string{"r7"}, []string{"r7"}, PhaseOut
		},
		func(v *Observation) { v.Machines[0].State = MachineWarmingUp },
		func(v *Observation) { v.Machines = v.Machines[1:] },
		func(v *Observation) { v.Pause = Pause{Paused: true, Reason: "by us"} },
		func(v *Observation) { v.Orders[1].Phase, v.Orders[2].Phase = PhaseFailed, PhaseAbandoned },
		func(v *Observation) {
			v.NowMS, v.Machines[3].ReplicaGroups, v.Machines[1].ReplicaGroups = 1_000_000, []string{"r"}, []string{"r"}
			v.Orders[1].Phase = PhaseOut
		},
		func(v *Observation) {
			v.NowMS = 1_000_000
			v.Orders[0].LatestStartMS, v.Orders[1].Phase, v.Orders[2].Phase = 1, PhaseGranted, PhaseDraining
			v.Orders = append(v.Orders, newOrders("m4", "m5", "m6", "m7")...)
			v.Orders[3].Phase, v.Orders[4].Phase, v.Orders[5].Phase, v.Orders[6].Phase = PhaseOut, PhaseReturned, PhaseReturned, PhaseFailed
			v.Orders[6].PhaseReason, v.Machines[5].State = "disk", MachineWarmingUp
			v.Budget.AbandonAfterMS = 5000
		},
	} {
		v := Observation{Machines: newMachines(12), Orders: newOrders("m0", "m1", "m3"), Budget: DefaultDisruptionBudget()}
		v.Budget.MaxOut, v.Budget.MaxOutPerZone, v.Budget.MaxCapacityFraction, v.Budget.MaxZoneCapacityFraction, v.Budget.SpareVoters = 3, 3, 1, 1, 0
		v.Orders[0].Priority = 1
		change(&v)
		d := Decide(v)
		fmt.Fprintf(&lines, "steps %v, first %q, pause %q, waits %v\n", d.Transitions, d.HeadOfQueue, d.PauseReason, d.WaitReasons)
	}
	golden.Text(t, "testdata/decisions.golden", lines.String())
}

// TestGoldenPlans: plans of a few and of many machines, by seed.
func TestGoldenPlans(t *testing.T) {
	var lines strings.Builder
	for _, n := range []int{0, 5, 8, 30} {
		v := Observation{Machines: newMachines(n)}
		for i, m := range v.Machines {
			j := newOrders(m.Name)[0]
			j.DurationMS, j.Priority, j.PhaseSinceMS = int64(10_000+7919*(i%5)), i%2, 1000
			if i == 1 {
				j.Phase = PhaseOut
			}
			v.Orders = append(v.Orders, j)
		}
		s := Status{Machines: v.Machines, Budget: DefaultDisruptionBudget()}
		s.Budget.MaxOut, s.Budget.MaxOutPerZone, s.Budget.MaxCapacityFraction = 3, 2, 0.3
		for _, j := range v.Orders {
			s.Orders = append(s.Orders, OrderStatus{Order: j})
		}
		q := PlanInputFrom(s, 5000)
		q.Seed, q.MaxSchedules = 7, 50
		q.Windows = []StartWindow{{From: 0, To: 60e9}, {From: 100e9, To: 9000e9}}
		p, err := ComputePlan(q)
		text, marshalErr := json.Marshal(p)
		require.NoError(t, marshalErr)
		fmt.Fprintln(&lines, string(text), err)
	}
	golden.Text(t, "testdata/plans.golden", lines.String())
}
