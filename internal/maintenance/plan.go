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

// Task is one machine's work in a plan.
type Task struct {
	Node     string
	Zone     string
	Capacity float64
	Length   time.Duration
	Priority int
	Copies   []string
	Fixed    bool          // it is out already
	Left     time.Duration // of a fixed one
}

// Window is a time in which machines may begin to leave, from the plan's begin.
type Window struct{ From, To time.Duration }

// Question is what a plan is made for.
type Question struct {
	Tasks    []Task
	Limits   Limits
	Total    float64            // capacity of all machines
	Zones    map[string]float64 // of each zone's
	Windows  []Window           // none is always
	Seed     uint64
	Searches int // orders that are tried; 0 is as many as take a second or two
}

const (
	searchLeast = 20
	searchMost  = 2000
	searchWork  = 2_000_000 // orders by the square of the tasks
	exactMost   = 8         // tasks, up to which all orders are tried
	planMost    = 5000
)

// Placed is a task with its time.
type Placed struct {
	Task
	From, To time.Duration
}

// Plan is when each goes.
type Plan struct {
	Placed []Placed // in the order of going
	Length time.Duration
	Bound  time.Duration // no plan within the limits is shorter
	Tried  int           // orders
	Exact  bool          // all orders were tried
}

// ErrPlan says that a task fits at no time of the plan.
var ErrPlan = errors.New("no plan")

// MakePlan lays out a whole order: list scheduling of an order of tasks, which a local search
// improves, or all orders of a few are tried (branch and bound). Fixed tasks stay where
// they are. Tasks of a higher priority go before others in any order that is tried.
func MakePlan(q Question) (Plan, error) {
	if len(q.Tasks) > planMost {
		return Plan{}, fmt.Errorf("%w: more than %d machines", ErrPlan, planMost)
	}
	var fixed, free []Task
	for _, t := range q.Tasks {
		if t.Fixed {
			fixed = append(fixed, t)
		} else {
			free = append(free, t)
		}
	}
	// Long ones first, as list scheduling does best with.
	slices.SortStableFunc(free, func(a, b Task) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Length, a.Length), cmp.Compare(a.Node, b.Node))
	})
	best, err := q.place(fixed, free, math.MaxInt64)
	if err != nil {
		return best, err
	}
	best.Bound, best.Tried = q.bound(fixed, free), 1
	if len(free) <= exactMost {
		q.all(fixed, nil, free, &best)
		best.Exact = true
	} else {
		q.search(fixed, free, &best)
	}
	return best, nil
}

// all tries all orders that begin with some tasks, and gives up those that are no better.
func (q Question) all(fixed, begin, rest []Task, best *Plan) {
	if best.Length <= best.Bound {
		return
	}
	if len(rest) == 0 {
		best.Tried++
		if p, err := q.place(fixed, begin, best.Length); err == nil && p.Length < best.Length {
			p.Bound, p.Tried = best.Bound, best.Tried
			*best = p
		}
		return
	}
	if len(begin) > 0 {
		if p, err := q.place(fixed, begin, best.Length); err != nil || p.Length >= best.Length {
			return
		}
	}
	for i, t := range rest {
		if slices.ContainsFunc(rest, func(o Task) bool { return o.Priority > t.Priority }) {
			continue
		}
		left := slices.Delete(slices.Clone(rest), i, i+1)
		q.all(fixed, append(slices.Clone(begin), t), left, best)
	}
}

// search moves one task at a time to another place in the order, and keeps what is not worse.
func (q Question) search(fixed, order []Task, best *Plan) {
	rng := rand.New(rand.NewPCG(q.Seed, 17))
	now, length := slices.Clone(order), best.Length
	for range cmp.Or(q.Searches, min(max(searchWork/(len(order)*len(order)), searchLeast), searchMost)) {
		if best.Length <= best.Bound {
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
			if !slices.IsSortedFunc(next, func(a, b Task) int { return cmp.Compare(b.Priority, a.Priority) }) {
				continue
			}
		}
		best.Tried++
		p, err := q.place(fixed, next, length+1)
		if err != nil || p.Length > length {
			continue
		}
		now, length = next, p.Length
		if length < best.Length {
			p.Bound, p.Tried = best.Bound, best.Tried
			*best = p
		}
	}
}

// place gives each task in an order the first time at which it fits beside those placed
// before it, or stops once the plan is no shorter than it has to be.
func (q Question) place(fixed, order []Task, below time.Duration) (p Plan, err error) {
	for _, t := range fixed {
		p.Placed = append(p.Placed, Placed{t, 0, t.Left})
		p.Length = max(p.Length, t.Left)
	}
	for _, t := range order {
		at, ok := q.first(p.Placed, t)
		if !ok {
			return p, fmt.Errorf("%w: %s fits at no time within the limits", ErrPlan, t.Node)
		}
		p.Placed = append(p.Placed, Placed{t, at, at + t.Length})
		if p.Length = max(p.Length, at+t.Length); p.Length >= below {
			return p, nil
		}
	}
	slices.SortStableFunc(p.Placed, func(a, b Placed) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Node, b.Node)) })
	return p, nil
}

// first is the first time at which a task fits: the begin, the end of another, or the begin
// of a window.
func (q Question) first(placed []Placed, t Task) (time.Duration, bool) {
	times := []time.Duration{0}
	for _, x := range placed {
		times = append(times, x.To)
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

func (q Question) open(at time.Duration) bool {
	return len(q.Windows) == 0 || slices.ContainsFunc(q.Windows, func(w Window) bool { return w.From <= at && at < w.To })
}

// fits looks at each moment of a task's time at which another one begins.
func (q Question) fits(placed []Placed, t Task, at time.Duration) bool {
	moments := []time.Duration{at}
	for _, x := range placed {
		if x.From > at && x.From < at+t.Length {
			moments = append(moments, x.From)
		}
	}
	for _, m := range moments {
		places, zone, gone, zoneGone := 1, 1, t.Capacity, t.Capacity
		for _, x := range placed {
			if m < x.From || m >= x.To {
				continue
			}
			places++
			gone += x.Capacity
			if x.Zone == t.Zone {
				zone++
				zoneGone += x.Capacity
			}
			if slices.ContainsFunc(t.Copies, func(c string) bool { return slices.Contains(x.Copies, c) }) {
				return false
			}
		}
		l := q.Limits
		if places > l.Most || zone > l.MostZone || places > 1 && gone > l.Share*q.Total || zone > 1 && zoneGone > l.ShareZone*q.Zones[t.Zone] {
			return false
		}
	}
	return true
}

// bound is what no plan can be shorter than: the longest task, all work by the places there
// are, whole and in each zone, and by the capacity that may be out.
func (q Question) bound(fixed, free []Task) time.Duration {
	var most time.Duration
	all, zones, capacity := 0.0, map[string]float64{}, 0.0
	for _, t := range slices.Concat(fixed, free) {
		d := t.Length
		if t.Fixed {
			d = t.Left
		}
		most = max(most, d)
		all += float64(d)
		zones[t.Zone] += float64(d)
		capacity += float64(d) * t.Capacity
	}
	most = max(most, time.Duration(all/float64(q.Limits.Most)))
	for _, z := range zones {
		most = max(most, time.Duration(z/float64(q.Limits.MostZone)))
	}
	if q.Limits.Share*q.Total > 0 {
		biggest := 0.0
		for _, t := range free {
			biggest = max(biggest, t.Capacity)
		}
		most = max(most, time.Duration(capacity/max(q.Limits.Share*q.Total, biggest)))
	}
	return most
}

// QuestionFrom is what is to be planned of an order as it stands at a time (Unix
// milliseconds): who is out stays out for what its time has left, and all who ask follow.
func QuestionFrom(s Status, nowMS int64) Question {
	q := Question{Limits: s.Limits, Zones: map[string]float64{}}
	machines := map[string]Machine{}
	for _, m := range s.Machines {
		machines[m.Name] = m
		q.Total += m.Capacity()
		q.Zones[m.Zone] += m.Capacity()
	}
	for _, j := range s.Jobs {
		m := machines[j.Node]
		t := Task{Node: j.Node, Zone: m.Zone, Capacity: m.Capacity(), Length: time.Duration(j.ForMS) * time.Millisecond, Priority: j.Priority, Copies: m.Copies}
		switch {
		case j.Phase == Asked:
			q.Tasks = append(q.Tasks, t)
		case places[j.Phase]:
			t.Fixed = true
			t.Left = max(0, t.Length-time.Duration(nowMS-j.SinceMS)*time.Millisecond)
			q.Tasks = append(q.Tasks, t)
		}
	}
	return q
}
