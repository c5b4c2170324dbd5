package maintenance

import "fmt"

// budgetUsage is the part of a disruption budget that is in use. It keeps sums, so the check of one order takes
// the same time for any number of machines. Capacities are in cores times their relative speed.
type budgetUsage struct {
	budget    DisruptionBudget
	machines  map[string]Machine
	isOut     map[string]bool  // the machine is out because of its order, or not in service
	abandoned map[string]bool  // the machine's order was abandoned: it uses no slot, but its capacity is missing
	phases    map[string]Phase // phases of the orders because of which machines are out

	totalCapacity float64
	zoneCapacity  map[string]float64
	voters        int

	slotsUsed         machinesOut // machines that count towards MaxOut
	zoneSlotsUsed     map[string]*machinesOut
	out               machinesOut // all machines that are out, including abandoned ones
	capacityOut       float64
	zoneCapacityOut   map[string]float64
	capacityInService float64
	capacityInUse     float64 // part of capacityInService that is in use
	votersInService   int
	outByReplicaGroup map[string]string // a machine that is out and holds a copy, by replica group
}

func newBudgetUsage(obs Observation, orders []Order, machines map[string]Machine) *budgetUsage {
	u := &budgetUsage{
		budget:            obs.Budget,
		machines:          machines,
		isOut:             map[string]bool{},
		abandoned:         map[string]bool{},
		zoneCapacity:      map[string]float64{},
		phases:            map[string]Phase{},
		zoneSlotsUsed:     map[string]*machinesOut{},
		zoneCapacityOut:   map[string]float64{},
		outByReplicaGroup: map[string]string{},
	}
	for _, o := range orders {
		u.abandoned[o.Machine] = o.Phase == PhaseAbandoned
		if o.Phase.countsAsOut() || o.Phase == PhaseAbandoned {
			u.phases[o.Machine] = o.Phase
		}
	}
	for _, m := range machines {
		u.addMachine(m)
	}
	for _, m := range machines {
		if m.State != MachineInService {
			u.markOut(m.Name)
		}
	}
	for _, o := range orders {
		if o.Phase.countsAsOut() {
			u.markOut(o.Machine)
		}
	}
	return u
}

func (u *budgetUsage) addMachine(m Machine) {
	u.totalCapacity += m.Capacity()
	u.zoneCapacity[m.Zone] += m.Capacity()
	u.capacityInService += m.Capacity()
	u.capacityInUse += m.Capacity() * u.utilization(m)
	if m.IsVoter {
		u.voters++
		u.votersInService++
	}
}

// utilization returns the fraction of a machine's capacity in use. An unknown or outdated value counts as 1.
func (u *budgetUsage) utilization(m Machine) float64 {
	if m.UtilizationAgeMS < 0 || m.UtilizationAgeMS > u.budget.MaxUtilizationAgeMS {
		return 1
	}
	return min(max(m.Utilization, 0), 1)
}

// markOut counts a machine as out.
func (u *budgetUsage) markOut(name string) {
	if u.isOut[name] {
		return
	}
	u.isOut[name] = true
	m, known := u.machines[name]
	entry := machineOut{name: name, phase: u.phases[name], state: m.State}
	u.out.add(entry)
	if !u.abandoned[name] {
		u.slotsUsed.add(entry)
		if known {
			u.zoneSlots(m.Zone).add(entry)
		}
	}
	if !known {
		return // without a heartbeat, its zone and capacity are unknown
	}
	u.capacityOut += m.Capacity()
	u.zoneCapacityOut[m.Zone] += m.Capacity()
	u.capacityInService -= m.Capacity()
	u.capacityInUse -= m.Capacity() * u.utilization(m)
	if m.IsVoter {
		u.votersInService--
	}
	for _, group := range m.ReplicaGroups {
		u.outByReplicaGroup[group] = name
	}
}

// grant counts a machine as out because its order is granted.
func (u *budgetUsage) grant(name string) {
	u.phases[name] = PhaseGranted
	u.markOut(name)
}

// zoneSlots returns the machines of a zone that count towards MaxOutPerZone.
func (u *budgetUsage) zoneSlots(zone string) *machinesOut {
	slots, ok := u.zoneSlotsUsed[zone]
	if !ok {
		slots = &machinesOut{}
		u.zoneSlotsUsed[zone] = slots
	}
	return slots
}

func (u *budgetUsage) isInService(name string) bool {
	_, known := u.machines[name]
	return known && !u.isOut[name]
}

// waitReason returns why an order can't be granted now, or "" if it can.
func (u *budgetUsage) waitReason(o Order) string {
	m, known := u.machines[o.Machine]
	switch {
	case !known:
		return "nothing is known of this machine"
	case m.State != MachineInService:
		return "it is " + m.State.String() + " already"
	}
	for _, group := range m.ReplicaGroups {
		if other, out := u.outByReplicaGroup[group]; out {
			return fmt.Sprintf("%s, which is out, holds copies of the same things (%s)", other, group)
		}
	}
	if reason := u.slotShortage(m); reason != "" {
		return reason
	}
	if reason := u.capacityShortage(m); reason != "" {
		return reason
	}
	return u.voterShortage(m)
}

// slotShortage returns why the number of machines that are out does not allow another one, or "".
func (u *budgetUsage) slotShortage(m Machine) string {
	b := u.budget
	inZone := u.zoneSlots(m.Zone)
	switch {
	case u.slotsUsed.count >= b.MaxOut:
		return fmt.Sprintf("%d are out, at most %d%s", u.slotsUsed.count, b.MaxOut, &u.slotsUsed)
	case inZone.count >= b.MaxOutPerZone:
		return fmt.Sprintf("%d are out in zone %q, at most %d%s", inZone.count, m.Zone, b.MaxOutPerZone, inZone)
	}
	return ""
}

// capacityShortage returns why the capacity that would be out, or left in service, does not allow the machine to be
// taken out, or "". A single machine may be out whatever its fraction of the capacity is, since a small fleet could
// not be maintained otherwise. The last capacity in service is never taken out.
func (u *budgetUsage) capacityShortage(m Machine) string {
	b := u.budget
	capacityOut := u.capacityOut + m.Capacity()
	zoneCapacityOut := u.zoneCapacityOut[m.Zone] + m.Capacity()
	remainingCapacity := u.capacityInService - m.Capacity()
	inZone := u.zoneSlots(m.Zone)
	switch {
	case remainingCapacity <= 0:
		return fmt.Sprintf("none of %.1f cores would stay in service%s", u.totalCapacity, &u.out)
	case capacityOut > b.MaxCapacityFraction*u.totalCapacity && u.slotsUsed.count > 0:
		return fmt.Sprintf("%.1f of %.1f cores would be out, at most %.0f%%%s", capacityOut, u.totalCapacity, 100*b.MaxCapacityFraction, &u.out)
	case zoneCapacityOut > b.MaxZoneCapacityFraction*u.zoneCapacity[m.Zone] && inZone.count > 0:
		return fmt.Sprintf("%.1f of %.1f cores of zone %q would be out, at most %.0f%%%s",
			zoneCapacityOut, u.zoneCapacity[m.Zone], m.Zone, 100*b.MaxZoneCapacityFraction, inZone)
	case u.capacityInUse > (1-b.SpareCapacityFraction)*remainingCapacity:
		return fmt.Sprintf("%.1f cores are in use, and %.1f would stay, of which %.0f%% are kept spare",
			u.capacityInUse, remainingCapacity, 100*b.SpareCapacityFraction)
	}
	return ""
}

// voterShortage returns why too few voters of the store would stay in service, or "". Each machine with a voting
// node counts as one voter.
func (u *budgetUsage) voterShortage(m Machine) string {
	if !m.IsVoter {
		return ""
	}
	return voterShortageReason(u.voters, u.votersInService-1, u.budget.SpareVoters)
}

// voterShortageReason returns a reason if fewer voters than required would stay in service, or "".
func voterShortageReason(voters, remaining, spare int) string {
	want := requiredVoters(voters, spare)
	if remaining >= want {
		return ""
	}
	return fmt.Sprintf("%d of the store's %d voters would stay, want %d", remaining, voters, want)
}

// requiredVoters returns how many of a store's voters must stay in service: a quorum plus the spare ones.
func requiredVoters(voters, spare int) int { return voters/2 + 1 + spare }
