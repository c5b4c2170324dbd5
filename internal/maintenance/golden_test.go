package maintenance

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenTypes checks the JSON of stored orders, heartbeats and budgets, of responses and of printed plans.
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

// TestGoldenNames checks the strings of phases and machine states, the default budget and the error texts.
func TestGoldenNames(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, PhaseRequested, PhaseGranted, PhaseDraining, PhaseOut, PhaseReturned, PhaseCompleted, PhaseFailed, PhaseAbandoned, PhaseExpired, MachineInService, MachineWarmingUp, MachineUnreachable)
	defaults, err := json.Marshal(DefaultDisruptionBudget())
	require.NoError(t, err)
	fmt.Fprintln(&lines, string(defaults))
	valid := Order{Machine: "m1", DurationMS: 1000}
	for _, change := range []func(*Order){
		func(*Order) {}, func(order *Order) { order.Machine = "/" }, func(order *Order) { order.DurationMS = 1 }, func(order *Order) { order.Reason = strings.Repeat("x", 201) }, func(order *Order) { order.LatestStartMS = -1 },
	} {
		order := valid
		change(&order)
		fmt.Fprintln(&lines, order.Validate())
	}
	for _, change := range []func(*DisruptionBudget){
		func(*DisruptionBudget) {}, func(budget *DisruptionBudget) { budget.MaxOut = 0 }, func(budget *DisruptionBudget) { budget.MaxOutPerZone = 0 }, func(budget *DisruptionBudget) { budget.MaxCapacityFraction = 0 }, func(budget *DisruptionBudget) { budget.MaxZoneCapacityFraction = 2 },
		func(budget *DisruptionBudget) { budget.SpareCapacityFraction = 1 }, func(budget *DisruptionBudget) { budget.MaxFailures = 0 }, func(budget *DisruptionBudget) { budget.WarmUpTimeoutMS = 0 }, func(budget *DisruptionBudget) { budget.AbandonAfterMS = -1 }, func(budget *DisruptionBudget) { budget.SpareVoters = -1 },
	} {
		budget := DefaultDisruptionBudget()
		change(&budget)
		fmt.Fprintln(&lines, budget.Validate())
	}
	golden.Text(t, "testdata/names.golden", lines.String())
}

// TestGoldenDecisions checks the transitions and the exact text of each wait reason, which GET /work and "work list"
// show.
func TestGoldenDecisions(t *testing.T) {
	var lines strings.Builder
	for _, change := range []func(obs *Observation){
		func(*Observation) {},
		func(obs *Observation) { obs.Budget.MaxOut = 1; obs.Orders[1].Phase = PhaseOut },
		func(obs *Observation) { obs.Budget.MaxOutPerZone = 1; obs.Orders[2].Phase = PhaseFailed },
		func(obs *Observation) { obs.Budget.MaxCapacityFraction = 0.09; obs.Orders[1].Phase = PhaseDraining },
		func(obs *Observation) {
			obs.Budget.MaxZoneCapacityFraction = 0.2
			obs.Orders[2].Phase, obs.Machines[3].State = PhaseReturned, MachineWarmingUp
		},
		func(obs *Observation) { obs.Budget.SpareCapacityFraction = 0.9 },
		func(obs *Observation) { obs.Budget.SpareVoters = 1; obs.Machines[1].State = MachineUnreachable },
		func(obs *Observation) {
			obs.Machines[0].ReplicaGroups, obs.Machines[1].ReplicaGroups, obs.Orders[1].Phase = []string{"r7"}, []string{"r7"}, PhaseOut
		},
		func(obs *Observation) { obs.Machines[0].State = MachineWarmingUp },
		func(obs *Observation) { obs.Machines = obs.Machines[1:] },
		func(obs *Observation) { obs.Pause = Pause{Paused: true, Reason: "by us"} },
		func(obs *Observation) { obs.Orders[1].Phase, obs.Orders[2].Phase = PhaseFailed, PhaseAbandoned },
		func(obs *Observation) {
			obs.NowMS, obs.Machines[3].ReplicaGroups, obs.Machines[1].ReplicaGroups = 1_000_000, []string{"r"}, []string{"r"}
			obs.Orders[1].Phase = PhaseOut
		},
		func(obs *Observation) {
			obs.NowMS = 1_000_000
			obs.Orders[0].LatestStartMS, obs.Orders[1].Phase, obs.Orders[2].Phase = 1, PhaseGranted, PhaseDraining
			obs.Orders = append(obs.Orders, newOrders("m4", "m5", "m6", "m7")...)
			obs.Orders[3].Phase, obs.Orders[4].Phase, obs.Orders[5].Phase, obs.Orders[6].Phase = PhaseOut, PhaseReturned, PhaseReturned, PhaseFailed
			obs.Orders[6].PhaseReason, obs.Machines[5].State = "disk", MachineWarmingUp
			obs.Budget.AbandonAfterMS = 5000
		},
	} {
		obs := Observation{Machines: newMachines(12), Orders: newOrders("m0", "m1", "m3"), Budget: DefaultDisruptionBudget()}
		obs.Budget.MaxOut, obs.Budget.MaxOutPerZone, obs.Budget.MaxCapacityFraction, obs.Budget.MaxZoneCapacityFraction, obs.Budget.SpareVoters = 3, 3, 1, 1, 0
		obs.Orders[0].Priority = 1
		change(&obs)
		decision := Decide(obs)
		fmt.Fprintf(&lines, "steps %v, first %q, pause %q, waits %v\n", decision.Transitions, decision.HeadOfQueue, decision.PauseReason, decision.WaitReasons)
	}
	golden.Text(t, "testdata/decisions.golden", lines.String())
}

// TestGoldenPlans checks the plans of a few and of many machines for a fixed seed.
func TestGoldenPlans(t *testing.T) {
	var lines strings.Builder
	for _, n := range []int{0, 5, 8, 30} {
		obs := Observation{Machines: newMachines(n)}
		for i, m := range obs.Machines {
			order := newOrders(m.Name)[0]
			order.DurationMS, order.Priority, order.PhaseSinceMS = int64(10_000+7919*(i%5)), i%2, 1000
			if i == 1 {
				order.Phase = PhaseOut
			}
			obs.Orders = append(obs.Orders, order)
		}
		status := Status{Machines: obs.Machines, Budget: DefaultDisruptionBudget()}
		status.Budget.MaxOut, status.Budget.MaxOutPerZone, status.Budget.MaxCapacityFraction = 3, 2, 0.3
		for _, order := range obs.Orders {
			status.Orders = append(status.Orders, OrderStatus{Order: order})
		}
		input := PlanInputFrom(status, 5000)
		input.Seed, input.MaxSchedules = 7, 50
		input.Windows = []StartWindow{{From: 0, To: 60e9}, {From: 100e9, To: 9000e9}}
		plan, err := ComputePlan(input)
		text, marshalErr := json.Marshal(plan)
		require.NoError(t, marshalErr)
		fmt.Fprintln(&lines, string(text), err)
	}
	golden.Text(t, "testdata/plans.golden", lines.String())
}
