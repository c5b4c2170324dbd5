package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxPlanMachines is the maximum number of machines in a plan.
const maxPlanMachines = 5000

// ErrNoPlan means that there are too many machines, or that a machine fits at no time within the budget and
// the start windows.
var ErrNoPlan = errors.New("can't plan maintenance")

// PlanTask is the maintenance of one machine in a plan.
type PlanTask struct {
	Machine       string        `json:"Node"`
	Zone          string        `json:"Zone"`
	Capacity      float64       `json:"Capacity"` // cores times their relative speed
	Duration      time.Duration `json:"Length"`
	Priority      int           `json:"Priority"` // a task of higher priority is scheduled first
	ReplicaGroups []string      `json:"Copies"`
	AlreadyOut    bool          `json:"Fixed"` // the machine is out when the plan starts
	Remaining     time.Duration `json:"Left"`  // time that a machine which is already out stays out
}

// StartWindow is a period in which machines may be taken out. Its times are relative to the plan's start.
type StartWindow struct {
	From time.Duration
	To   time.Duration // exclusive
}

// PlanInput is the complete input of a plan.
type PlanInput struct {
	Tasks         []PlanTask
	Budget        DisruptionBudget
	TotalCapacity float64            // capacity of all machines
	ZoneCapacity  map[string]float64 // capacity of each zone, by zone
	Voters        map[string]bool    // machines that run a voting node of the store
	Windows       []StartWindow      // if empty, machines may be taken out at any time
	Seed          uint64             // seed of the search's random numbers
	MaxSchedules  int                // maximum number of schedules to try; 0 means as many as take one or two seconds
}

// ScheduledTask is a task with its start and end, relative to the plan's start.
type ScheduledTask struct {
	PlanTask
	Start time.Duration `json:"From"`
	End   time.Duration `json:"To"`
}

// Plan is a schedule of tasks, with figures about the search that found it.
type Plan struct {
	Schedule       []ScheduledTask `json:"Placed"` // sorted by start
	Duration       time.Duration   `json:"Length"`
	LowerBound     time.Duration   `json:"Bound"` // no plan within the budget is shorter
	SchedulesTried int             `json:"Tried"`
	Exhaustive     bool            `json:"Exact"` // all sequences of tasks were tried
}

// ComputePlan computes a schedule by list scheduling: it gives each task of a list the earliest start at
// which it fits within the budget's limits on machines, zones, capacity fractions, voters and replica groups.
// It ignores spare capacity, which depends on future load, and machines that are out of service without an
// order, so Decide may grant an order later than planned. If no voter may be taken out at all (see
// VoterShortage), it schedules the voters one at a time.
//
// The initial list has the longest tasks first. A local search improves it; for at most maxExhaustiveTasks
// tasks, all lists are tried instead (branch and bound). Tasks whose machines are already out keep their
// times. In each list, tasks of higher priority precede the others.
func ComputePlan(in PlanInput) (Plan, error) {
	if len(in.Tasks) > maxPlanMachines {
		return Plan{}, fmt.Errorf("%w: more than %d machines", ErrNoPlan, maxPlanMachines)
	}
	var fixed, free []PlanTask
	for _, t := range in.Tasks {
		if t.AlreadyOut {
			fixed = append(fixed, t)
		} else {
			free = append(free, t)
		}
	}
	slices.SortStableFunc(free, func(a, b PlanTask) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.Machine, b.Machine))
	})
	best, err := in.buildSchedule(fixed, free, math.MaxInt64)
	if err != nil {
		return best, err
	}
	best.LowerBound = in.lowerBound(fixed, free)
	best.SchedulesTried = 1
	if len(free) <= maxExhaustiveTasks {
		in.searchExhaustively(fixed, nil, free, &best)
		best.Exhaustive = true
	} else {
		in.searchLocally(fixed, free, &best)
	}
	return best, nil
}

// PlanInputFrom returns the input for a plan that starts at nowMS (Unix milliseconds). Machines that are out
// stay out for the rest of their order's duration; orders that wait are to be scheduled.
func PlanInputFrom(status Status, nowMS int64) PlanInput {
	in := PlanInput{Budget: status.Budget, ZoneCapacity: map[string]float64{}, Voters: map[string]bool{}}
	machines := map[string]Machine{}
	for _, m := range status.Machines {
		machines[m.Name] = m
		in.TotalCapacity += m.Capacity()
		in.ZoneCapacity[m.Zone] += m.Capacity()
		if m.IsVoter {
			in.Voters[m.Name] = true
		}
	}
	for _, o := range status.Orders {
		task := newPlanTask(o.Order, machines[o.Machine])
		switch {
		case o.Phase == PhaseRequested:
			in.Tasks = append(in.Tasks, task)
		case o.Phase.countsAsOut():
			task.AlreadyOut = true
			task.Remaining = max(0, task.Duration-time.Duration(nowMS-o.PhaseSinceMS)*time.Millisecond)
			in.Tasks = append(in.Tasks, task)
		}
	}
	return in
}

func newPlanTask(o Order, m Machine) PlanTask {
	return PlanTask{
		Machine:       o.Machine,
		Zone:          m.Zone,
		Capacity:      m.Capacity(),
		Duration:      time.Duration(o.DurationMS) * time.Millisecond,
		Priority:      o.Priority,
		ReplicaGroups: m.ReplicaGroups,
	}
}
