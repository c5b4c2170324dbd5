package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// buildSchedule gives each task of a list the earliest start at which it fits together with the tasks before
// it in the list. It returns an incomplete plan as soon as the plan's duration reaches maxDuration.
func (in PlanInput) buildSchedule(fixed, list []PlanTask, maxDuration time.Duration) (p Plan, err error) {
	for _, t := range fixed {
		p.Schedule = append(p.Schedule, ScheduledTask{PlanTask: t, End: t.Remaining})
		p.Duration = max(p.Duration, t.Remaining)
	}
	for _, t := range list {
		start, ok := in.earliestStart(p.Schedule, t)
		if !ok {
			return p, fmt.Errorf("%w: machine %s fits at no time within the budget and the start windows", ErrNoPlan, t.Machine)
		}
		end := start + t.Duration
		p.Schedule = append(p.Schedule, ScheduledTask{PlanTask: t, Start: start, End: end})
		p.Duration = max(p.Duration, end)
		if p.Duration >= maxDuration {
			return p, nil
		}
	}
	slices.SortStableFunc(p.Schedule, func(a, b ScheduledTask) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Machine, b.Machine))
	})
	return p, nil
}

// earliestStart returns the earliest time at which a task fits. Only the plan's start, the end of another task
// and the start of a window are candidates: at no other time does a machine return or a window open.
func (in PlanInput) earliestStart(schedule []ScheduledTask, t PlanTask) (time.Duration, bool) {
	candidates := []time.Duration{0}
	for _, other := range schedule {
		candidates = append(candidates, other.End)
	}
	for _, w := range in.Windows {
		candidates = append(candidates, w.From)
	}
	slices.Sort(candidates)
	for _, start := range slices.Compact(candidates) {
		if in.inWindow(start) && in.fits(schedule, t, start) {
			return start, true
		}
	}
	return 0, false
}

func (in PlanInput) inWindow(start time.Duration) bool {
	return len(in.Windows) == 0 || slices.ContainsFunc(in.Windows, func(w StartWindow) bool { return w.From <= start && start < w.To })
}

// fits reports whether a task that starts at start fits within the budget. It checks the budget at that start,
// and at the start of each other task while this one is out.
func (in PlanInput) fits(schedule []ScheduledTask, t PlanTask, start time.Duration) bool {
	if !in.fitsAt(schedule, t, start) {
		return false
	}
	for _, other := range schedule {
		startsDuring := other.Start > start && other.Start < start+t.Duration
		if startsDuring && !in.fitsAt(schedule, t, other.Start) {
			return false
		}
	}
	return true
}

// fitsAt reports whether the budget allows a task to be out at one moment. A single machine may be out whatever
// its fraction of the capacity is.
func (in PlanInput) fitsAt(schedule []ScheduledTask, t PlanTask, moment time.Duration) bool {
	out, zoneOut, votersOut := 1, 1, 1
	capacityOut, zoneCapacityOut := t.Capacity, t.Capacity
	for _, other := range schedule {
		if moment < other.Start || moment >= other.End {
			continue
		}
		if sharesReplicas(t, other.PlanTask) {
			return false
		}
		out++
		capacityOut += other.Capacity
		if in.Voters[other.Machine] {
			votersOut++
		}
		if other.Zone == t.Zone {
			zoneOut++
			zoneCapacityOut += other.Capacity
		}
	}
	b := in.Budget
	switch {
	case out > b.MaxOut, zoneOut > b.MaxOutPerZone:
		return false
	case in.Voters[t.Machine] && votersOut > in.maxVotersOut():
		return false
	case out > 1 && capacityOut > b.MaxCapacityFraction*in.TotalCapacity:
		return false
	case zoneOut > 1 && zoneCapacityOut > b.MaxZoneCapacityFraction*in.ZoneCapacity[t.Zone]:
		return false
	}
	return true
}

// maxVotersOut returns how many voters a plan may have out at a time: as many as the budget allows, but at least one.
func (in PlanInput) maxVotersOut() int {
	return max(len(in.Voters)-requiredVoters(len(in.Voters), in.Budget.SpareVoters), 1)
}

// VoterShortage returns why the budget allows no voter to be taken out, or "" if it does or if no voter waits. With
// a shortage, the plan holds only if an operator adds voters, or lowers SpareVoters, during the maintenance.
func (in PlanInput) VoterShortage() string {
	voterWaits := slices.ContainsFunc(in.Tasks, func(t PlanTask) bool { return in.Voters[t.Machine] && !t.AlreadyOut })
	if !voterWaits {
		return ""
	}
	return voterShortageReason(len(in.Voters), len(in.Voters)-1, in.Budget.SpareVoters)
}

func sharesReplicas(a, b PlanTask) bool {
	return slices.ContainsFunc(a.ReplicaGroups, func(group string) bool { return slices.Contains(b.ReplicaGroups, group) })
}

// lowerBound returns a lower bound of the duration of any plan: the maximum of the longest task, the total time of
// all tasks divided by MaxOut, that of each zone divided by MaxOutPerZone, and the sum of time times capacity of all
// tasks divided by the capacity that may be out.
func (in PlanInput) lowerBound(fixed, free []PlanTask) time.Duration {
	var bound time.Duration
	var total, coreTime float64
	zoneTotals := map[string]float64{}
	for _, t := range slices.Concat(fixed, free) {
		duration := t.Duration
		if t.AlreadyOut {
			duration = t.Remaining
		}
		bound = max(bound, duration)
		total += float64(duration)
		zoneTotals[t.Zone] += float64(duration)
		coreTime += float64(duration) * t.Capacity
	}
	bound = max(bound, time.Duration(total/float64(in.Budget.MaxOut)))
	for _, zoneTotal := range zoneTotals {
		bound = max(bound, time.Duration(zoneTotal/float64(in.Budget.MaxOutPerZone)))
	}
	capacityLimit := in.Budget.MaxCapacityFraction * in.TotalCapacity
	if capacityLimit > 0 {
		largest := 0.0
		for _, t := range free {
			largest = max(largest, t.Capacity)
		}
		bound = max(bound, time.Duration(coreTime/max(capacityLimit, largest)))
	}
	return bound
}
