package maintenance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestWaitReasonNamesMachines guards against wait reasons that don't name the machines that are out. An operator could
// not find a permanently removed machine that has no order and still counts as out.
func TestWaitReasonNamesMachines(t *testing.T) {
	unlimited := DisruptionBudget{MaxOut: 100, MaxOutPerZone: 100, MaxCapacityFraction: 1, MaxZoneCapacityFraction: 1, MaxUtilizationAgeMS: 1000,
		ConfirmTimeoutMS: 1000, OverrunGracePeriodMS: 1000, WarmUpTimeoutMS: 1000, MaxFailures: 2, MaxOvertakingMS: 1000}
	for _, test := range []struct {
		want   string
		change func(obs *Observation)
	}{
		{"2 are out, at most 2: m9 (away), m1 (out)", func(obs *Observation) { obs.Budget.MaxOut = 2 }},
		{`1 are out in zone "z0", at most 1: m9 (away)`, func(obs *Observation) { obs.Budget.MaxOutPerZone = 1 }},
		{"5.0 of 30.0 cores would be out, at most 9%: m9 (away), m1 (out)", func(obs *Observation) { obs.Budget.MaxCapacityFraction = 0.09 }},
		{`3.0 of 10.0 cores of zone "z0" would be out, at most 20%: m9 (away)`, func(obs *Observation) { obs.Budget.MaxZoneCapacityFraction = 0.2 }},
		{"none of 30.0 cores would stay in service: m10 (away), m11 (away), m2 (away), m3 (away), m4 (away), 6 more", func(obs *Observation) {
			for i := 2; i < len(obs.Machines); i++ {
				obs.Machines[i].State = MachineUnreachable
			}
		}},
	} {
		obs := Observation{Machines: newMachines(12), Orders: newOrders("m0", "m1"), Budget: unlimited}
		obs.Orders[1].Phase = PhaseOut
		obs.Machines[9].State = MachineUnreachable
		test.change(&obs)
		assert.Equal(t, test.want, Decide(obs).WaitReasons["m0"])
	}
}

// TestWaitReasonOfLastCapacity guards against a wait reason that names the spare capacity when the machine is the only
// one in service.
func TestWaitReasonOfLastCapacity(t *testing.T) {
	obs := Observation{Machines: newMachines(1), Orders: newOrders("m0"), Budget: DefaultDisruptionBudget()}
	obs.Budget.MaxCapacityFraction = 1
	assert.Equal(t, "none of 1.0 cores would stay in service", Decide(obs).WaitReasons["m0"])
}

// TestWaitReasonIsBounded guards against a wait reason that lists thousands of machines.
func TestWaitReasonIsBounded(t *testing.T) {
	obs := Observation{Machines: newMachines(5000), Orders: newOrders("m0"), Budget: DefaultDisruptionBudget()}
	for i := 1; i < len(obs.Machines); i++ {
		obs.Machines[i].State = MachineWarmingUp
	}
	reason := Decide(obs).WaitReasons["m0"]
	assert.Less(t, len(reason), 200, fmt.Sprintf("%.200s", reason))
}
