package maintenance

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig/rapidseed"
)

var seeds = flag.Int("seeds", 10, "number of simulated maintenance rounds of 300 machines")

func TestMain(m *testing.M) { rapidseed.RunTests(m) }

// newMachines returns n machines in service in three zones. The first five are voters.
func newMachines(n int) (machines []Machine) {
	for i := range n {
		machines = append(machines, Machine{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%3), Cores: float64(1 + i%4), Speed: 1, State: MachineInService, Utilization: 0.3, IsVoter: i < 5})
	}
	return machines
}

// newOrders returns an order of a minute for each machine, in order of arrival.
func newOrders(machines ...string) (orders []Order) {
	for i, name := range machines {
		orders = append(orders, Order{Machine: name, DurationMS: 60_000, Phase: PhaseRequested, Ticket: uint64(i + 1)})
	}
	return orders
}

// TestRefusalReasons checks that each limit of the budget by itself prevents a grant, and is named in the reason.
func TestRefusalReasons(t *testing.T) {
	unlimited := DisruptionBudget{MaxOut: 100, MaxOutPerZone: 100, MaxCapacityFraction: 1, MaxZoneCapacityFraction: 1, MaxUtilizationAgeMS: 1000, ConfirmTimeoutMS: 1000, OverrunGracePeriodMS: 1000, WarmUpTimeoutMS: 1000, MaxFailures: 2, MaxOvertakingMS: 1000}
	require.NoError(t, unlimited.Validate())
	for want, change := range map[string]func(obs *Observation){
		"":                       func(*Observation) {},
		"1 are out, at most 1":   func(obs *Observation) { obs.Budget.MaxOut = 1; obs.Orders[1].Phase = PhaseOut },
		`1 are out in zone "z0"`: func(obs *Observation) { obs.Budget.MaxOutPerZone = 1; obs.Orders[2].Phase = PhaseFailed },
		"at most 9%":             func(obs *Observation) { obs.Budget.MaxCapacityFraction = 0.09; obs.Orders[1].Phase = PhaseDraining },
		`cores of zone "z0" would`: func(obs *Observation) {
			obs.Budget.MaxZoneCapacityFraction = 0.2
			obs.Orders[2].Phase, obs.Machines[3].State = PhaseReturned, MachineWarmingUp
		},
		"are kept spare": func(obs *Observation) { obs.Budget.SpareCapacityFraction = 0.9 },
		"12.5 cores are in use": func(obs *Observation) {
			obs.Machines[7].UtilizationAgeMS = 5000
			obs.Budget.SpareCapacityFraction = 0.6
			obs.Machines[8].UtilizationAgeMS = -1
		},
		"3 of the store's 5 voters": func(obs *Observation) { obs.Budget.SpareVoters = 1; obs.Machines[1].State = MachineUnreachable },
		"holds copies of the same": func(obs *Observation) {
			obs.Machines[0].ReplicaGroups, obs.Machines[1].ReplicaGroups = []string{"r7"}, []string{"r7"}
			obs.Orders[1].Phase = PhaseOut
		},
		"it is cold already":         func(obs *Observation) { obs.Machines[0].State = MachineWarmingUp },
		"nothing is known":           func(obs *Observation) { obs.Machines = obs.Machines[1:] },
		"the order is paused: by us": func(obs *Observation) { obs.Pause = Pause{Paused: true, Reason: "by us"} },
		"2 machines failed":          func(obs *Observation) { obs.Orders[1].Phase, obs.Orders[2].Phase = PhaseFailed, PhaseAbandoned },
	} {
		obs := Observation{Machines: newMachines(12), Orders: newOrders("m0", "m1", "m3"), Budget: unlimited}
		obs.Orders[0].Priority = 1
		change(&obs)
		decision := Decide(obs)
		if want == "" {
			assert.Contains(t, decision.Transitions, Transition{Machine: "m0", To: PhaseGranted})
		} else {
			assert.Contains(t, decision.WaitReasons["m0"], want)
			assert.Equal(t, "m0", decision.HeadOfQueue)
		}
	}
}

// TestTimedTransitions checks the timeout of each phase, at and just after its limit, and that an expired
// order has a reason.
func TestTimedTransitions(t *testing.T) {
	budget := DefaultDisruptionBudget()
	budget.AbandonAfterMS = 5000
	for _, test := range []struct {
		from    Phase
		state   MachineState
		afterMS int64
		to      Phase
	}{{PhaseGranted, MachineInService, budget.ConfirmTimeoutMS + 1, PhaseRequested}, {PhaseDraining, MachineInService, budget.OverrunGracePeriodMS + 1, PhaseFailed}, {PhaseOut, MachineUnreachable, 60_000 + budget.OverrunGracePeriodMS + 1, PhaseFailed}, {PhaseOut, MachineUnreachable, 60_000, ""},
		{PhaseReturned, MachineInService, 1, PhaseCompleted}, {PhaseReturned, MachineWarmingUp, budget.WarmUpTimeoutMS, ""}, {PhaseReturned, MachineWarmingUp, budget.WarmUpTimeoutMS + 1, PhaseFailed}, {PhaseFailed, MachineUnreachable, 5001, PhaseAbandoned}, {PhaseFailed, MachineUnreachable, 5000, ""}} {
		order := newOrders("m0")[0]
		order.Phase = test.from
		m := newMachines(1)[0]
		m.State = test.state
		to, _ := timedTransition(order, m, Observation{NowMS: test.afterMS, Budget: budget})
		assert.Equal(t, test.to, to, test)
	}
	expired := newOrders("m0")[0]
	expired.LatestStartMS = 10
	to, reason := timedTransition(expired, Machine{}, Observation{NowMS: 11, Budget: budget})
	assert.Equal(t, PhaseExpired, to)
	assert.NotEmpty(t, reason)
}

// TestOvertakingPeriod guards against starvation: later orders may overtake one that does not fit into the budget, but
// not once it has waited for longer than MaxOvertakingMS.
func TestOvertakingPeriod(t *testing.T) {
	obs := Observation{Machines: newMachines(30), Orders: newOrders("m3", "m10", "m11"), Budget: DefaultDisruptionBudget(), NowMS: 1}
	obs.Budget.MaxOut, obs.Budget.MaxCapacityFraction, obs.Budget.SpareCapacityFraction, obs.Budget.MaxOutPerZone = 3, 1, 0, 3
	obs.Machines[3].ReplicaGroups, obs.Machines[4].ReplicaGroups = []string{"r"}, []string{"r"}
	obs.Machines[4].State = MachineUnreachable
	decision := Decide(obs)
	assert.Contains(t, decision.WaitReasons["m3"], "copies")
	assert.Len(t, decision.Transitions, 2, "the other orders overtake it")
	obs.NowMS = obs.Budget.MaxOvertakingMS + 2
	decision = Decide(obs)
	assert.Empty(t, decision.Transitions)
	assert.Contains(t, decision.WaitReasons["m10"], "m3 has waited")
}
