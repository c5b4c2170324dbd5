package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// PlanTask is one machine's work in a plan.
type PlanTask struct {
	Node          string        `json:"Node"`
	Zone          string        `json:"Zone"`
	Capacity      float64       `json:"Capacity"`
	Duration      time.Duration `json:"Length"`
	Priority      int           `json:"Priority"`
	ReplicaGroups []string      `json:"Copies"`
	AlreadyOut    bool          `json:"Fixed"` // it is out already
	Remaining     time.Duration `json:"Left"`  // of a fixed one
}

// StartWindow is a time in which machines may begin to leave, from the plan's begin.
type StartWindow struct{ From, To time.Duration }

// PlanInput is what a plan is made for.
type PlanInput struct {
	Tasks         []PlanTask
	Budget        DisruptionBudget
	TotalCapacity float64            // capacity of all machines
	ZoneCapacity  map[string]float64 // of each zone's
	Windows       []StartWindow      // none is always
	Seed          uint64
	MaxSchedules  int // orders that are tried; 0 is as many as take a second or two
}

const (
	searchLeast = 20
	searchMost  = 2000
	searchWork  = 2_000_000 // orders by the square of the tasks
	exactMost   = 8         // tasks, up to which all orders are tried
	planMost    = 5000
)

// ScheduledTask is a task with its time.
type ScheduledTask struct {
	PlanTask
	Start time.Duration `json:"From"`
	End   time.Duration `json:"To"`
}

// Plan is when each goes.
type Plan struct {
	Schedule       []ScheduledTask `json:"Placed"` // in the order of going
	Duration       time.Duration   `json:"Length"`
	LowerBound     time.Duration   `json:"Bound"` // no plan within the limits is shorter
	SchedulesTried int             `json:"Tried"` // orders
	Exhaustive     bool            `json:"Exact"` // all orders were tried
}

// ErrNoPlan says that a task fits at no time of the plan.
var ErrNoPlan = errors.New("no plan")

// ComputePlan lays out a whole order: list scheduling of an order of tasks, which a local search
// improves, or all orders of a few are tried (branch and bound). Fixed tasks stay where
// they are. Tasks of a higher priority go before others in any order that is tried.
func ComputePlan(q PlanInput) (Plan, error) {
	if len(q.Tasks) > planMost {
		return Plan{}, fmt.Errorf("%w: more than %d machines", ErrNoPlan, planMost)
	}
	var fixed, free []PlanTask
	for _, t := range q.Tasks {
		if t.AlreadyOut {
			fixed = append(fixed, t)
		} else {
			free = append(free, t)
		}
	}
	// Long ones first, as list scheduling does best with.
	slices.SortStableFunc(free, func(a, b PlanTask) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.Node, b.Node))
	})
	best, err := q.place(fixed, free, math.MaxInt64)
	if err != nil {
		return best, err
	}
	best.LowerBound, best.SchedulesTried = q.bound(fixed, free), 1
	if len(free) <= exactMost {
		q.all(fixed, nil, free, &best)
		best.Exhaustive = true
	} else {
		q.search(fixed, free, &best)
	}
	return best, nil
}

// all tries all orders that begin with some tasks, and gives up those that are no better.
func (q PlanInput) all(fixed, begin, rest []PlanTask, best *Plan) {
	if best.Duration <= best.LowerBound {
		return
	}
	if len(rest) == 0 {
		best.SchedulesTried++
		if p, err := q.place(fixed, begin, best.Duration); err == nil && p.Duration < best.Duration {
			p.LowerBound, p.SchedulesTried = best.LowerBound, best.SchedulesTried
			*best = p
		}
		return
	}
	if len(begin) > 0 {
		if p, err := q.place(fixed, begin, best.Duration); err != nil || p.Duration >= best.Duration {
			return
		}
	}
	for i, t := range rest {
		if slices.ContainsFunc(rest, func(o PlanTask) bool { return o.Priority > t.Priority }) {
			continue
		}
		left := slices.Delete(slices.Clone(rest), i, i+1)
		q.all(fixed, append(slices.Clone(begin), t), left, best)
	}
}

// search moves one task at a time to another place in the order, and keeps what is not worse.
func (q PlanInput) search(fixed, order []PlanTask, best *Plan) {
	rng := rand.New(rand.NewPCG(q.Seed, 17))
	now, length := slices.Clone(order), best.Duration
	for range cmp.Or(q.MaxSchedules, min(max(searchWork/(len(order)*len(order)), searchLeast), searchMost)) {
		if best.Duration <= best.LowerBound {
			return
		}
		from, to := rng.IntN(len(now)), rng.IntN(len(now))
		if from == to || now[from].Priority != now[to].Priority {
			continue
		}
		next := slices.Clone(now)
		if rng.IntN(2) == 0 {
			next[from], next[to] = next[to], next[from]
		} else {
			t := next[from]
			next = slices.Insert(slices.Delete(next, from, from+1), to, t)
			if !slices.IsSortedFunc(next, func(a, b PlanTask) int { return cmp.Compare(b.Priority, a.Priority) }) {
				continue
			}
		}
		best.SchedulesTried++
		p, err := q.place(fixed, next, length+1)
		if err != nil || p.Duration > length {
			continue
		}
		now, length = next, p.Duration
		if length < best.Duration {
			p.LowerBound, p.SchedulesTried = best.LowerBound, best.SchedulesTried
			*best = p
		}
	}
}

// place gives each task in an order the first time at which it fits beside those placed
// before it, or stops once the plan is no shorter than it has to be.
func (q PlanInput) place(fixed, order []PlanTask, below time.Duration) (p Plan, err error) {
	for _, t := range fixed {
		p.Schedule = append(p.Schedule, ScheduledTask{t, 0, t.Remaining})
		p.Duration = max(p.Duration, t.Remaining)
	}
	for _, t := range order {
		at, ok := q.first(p.Schedule, t)
		if !ok {
			return p, fmt.Errorf("%w: %s fits at no time within the limits", ErrNoPlan, t.Node)
		}
		p.Schedule = append(p.Schedule, ScheduledTask{t, at, at + t.Duration})
		if p.Duration = max(p.Duration, at+t.Duration); p.Duration >= below {
			return p, nil
		}
	}
	slices.SortStableFunc(p.Schedule, func(a, b ScheduledTask) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Node, b.Node))
	})
	return p, nil
}

// first is the first time at which a task fits: the begin, the end of another, or the begin
// of a window.
func (q PlanInput) first(placed []ScheduledTask, t PlanTask) (time.Duration, bool) {
	times := []time.Duration{0}
	for _, x := range placed {
		times = append(times, x.End)
	}
	for _, w := range q.Windows {
		times = append(times, w.From)
	}
	slices.Sort(times)
	for _, at := range slices.Compact(times) {
		if q.open(at) && q.fits(placed, t, at) {
			return at, true
		}
	}
	return 0, false
}

func (q PlanInput) open(at time.Duration) bool {
	return len(q.Windows) == 0 || slices.ContainsFunc(q.Windows, func(w StartWindow) bool { return w.From <= at && at < w.To })
}

// fits looks at each moment of a task's time at which another one begins.
func (q PlanInput) fits(placed []ScheduledTask, t PlanTask, at time.Duration) bool {
	moments := []time.Duration{at}
	for _, x := range placed {
		if x.Start > at && x.Start < at+t.Duration {
			moments = append(moments, x.Start)
		}
	}
	for _, m := range moments {
		places, zone, gone, zoneGone := 1, 1, t.Capacity, t.Capacity
		for _, x := range placed {
			if m < x.Start || m >= x.End {
				continue
			}
			places++
			gone += x.Capacity
			if x.Zone == t.Zone {
				zone++
				zoneGone += x.Capacity
			}
			if slices.ContainsFunc(t.ReplicaGroups, func(c string) bool { return slices.Contains(x.ReplicaGroups, c) }) {
				return false
			}
		}
		l := q.Budget
		if places > l.MaxOut || zone > l.MaxOutPerZone || places > 1 && gone > l.MaxCapacityShare*q.TotalCapacity || zone > 1 && zoneGone > l.MaxZoneCapacityShare*q.ZoneCapacity[t.Zone] {
			return false
		}
	}
	return true
}

// bound is what no plan can be shorter than: the longest task, all work by the places there
// are, whole and in each zone, and by the capacity that may be out.
func (q PlanInput) bound(fixed, free []PlanTask) time.Duration {
	var most time.Duration
	all, zones, capacity := 0.0, map[string]float64{}, 0.0
	for _, t := range slices.Concat(fixed, free) {
		d := t.Duration
		if t.AlreadyOut {
			d = t.Remaining
		}
		most = max(most, d)
		all += float64(d)
		zones[t.Zone] += float64(d)
		capacity += float64(d) * t.Capacity
	}
	most = max(most, time.Duration(all/float64(q.Budget.MaxOut)))
	for _, z := range zones {
		most = max(most, time.Duration(z/float64(q.Budget.MaxOutPerZone)))
	}
	if q.Budget.MaxCapacityShare*q.TotalCapacity > 0 {
		biggest := 0.0
		for _, t := range free {
			biggest = max(biggest, t.Capacity)
		}
		most = max(most, time.Duration(capacity/max(q.Budget.MaxCapacityShare*q.TotalCapacity, biggest)))
	}
	return most
}

// PlanInputFrom is what is to be planned of an order as it stands at a time (Unix
// milliseconds): who is out stays out for what its time has left, and all who ask follow.
func PlanInputFrom(s Status, nowMS int64) PlanInput {
	q := PlanInput{Budget: s.Budget, ZoneCapacity: map[string]float64{}}
	machines := map[string]Machine{}
	for _, m := range s.Machines {
		machines[m.Name] = m
		q.TotalCapacity += m.Capacity()
		q.ZoneCapacity[m.Zone] += m.Capacity()
	}
	for _, j := range s.Orders {
		m := machines[j.Node]
		t := PlanTask{Node: j.Node, Zone: m.Zone, Capacity: m.Capacity(), Duration: time.Duration(j.DurationMS) * time.Millisecond, Priority: j.Priority, ReplicaGroups: m.ReplicaGroups}
		switch {
		case j.Phase == PhaseRequested:
			q.Tasks = append(q.Tasks, t)
		case places[j.Phase]:
			t.AlreadyOut = true
			t.Remaining = max(0, t.Duration-time.Duration(nowMS-j.PhaseSinceMS)*time.Millisecond)
			q.Tasks = append(q.Tasks, t)
		}
	}
	return q
}
