package maintenance

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	maxExhaustiveTasks = 8 // maximum number of tasks for which all lists are tried
	minSearchSchedules = 20
	maxSearchSchedules = 2000
	searchBudget       = 2_000_000 // schedules tried by a local search, times the square of the number of tasks
	searchSecondSeed   = 17        // second seed of the random number generator, after PlanInput.Seed
)

// searchExhaustively tries all lists that start with the tasks of prefix. It prunes prefixes whose schedule is
// already as long as the best plan.
func (in PlanInput) searchExhaustively(fixed, prefix, rest []PlanTask, best *Plan) {
	if best.Duration <= best.LowerBound {
		return
	}
	if len(rest) == 0 {
		best.SchedulesTried++
		if p, err := in.buildSchedule(fixed, prefix, best.Duration); err == nil && p.Duration < best.Duration {
			best.replace(p)
		}
		return
	}
	if len(prefix) > 0 {
		if p, err := in.buildSchedule(fixed, prefix, best.Duration); err != nil || p.Duration >= best.Duration {
			return
		}
	}
	for i, t := range rest {
		if slices.ContainsFunc(rest, func(other PlanTask) bool { return other.Priority > t.Priority }) {
			continue
		}
		remaining := slices.Delete(slices.Clone(rest), i, i+1)
		in.searchExhaustively(fixed, append(slices.Clone(prefix), t), remaining, best)
	}
}

// replace replaces the schedule by that of a shorter plan, and keeps the figures about the search.
func (p *Plan) replace(shorter Plan) {
	shorter.LowerBound = p.LowerBound
	shorter.SchedulesTried = p.SchedulesTried
	*p = shorter
}

// searchLocally is a local search: it swaps or moves tasks of a list, and keeps each change that does not make the
// plan longer.
func (in PlanInput) searchLocally(fixed, list []PlanTask, best *Plan) {
	rng := rand.New(rand.NewPCG(in.Seed, searchSecondSeed))
	current := slices.Clone(list)
	duration := best.Duration
	for range in.searchSchedules(len(list)) {
		if best.Duration <= best.LowerBound {
			return
		}
		next := neighbor(rng, current)
		if next == nil {
			continue
		}
		best.SchedulesTried++
		p, err := in.buildSchedule(fixed, next, duration+1)
		if err != nil || p.Duration > duration {
			continue
		}
		current = next
		duration = p.Duration
		if duration < best.Duration {
			best.replace(p)
		}
	}
}

// searchSchedules returns how many schedules a local search tries for a number of tasks.
func (in PlanInput) searchSchedules(tasks int) int {
	affordable := searchBudget / (tasks * tasks)
	return cmp.Or(in.MaxSchedules, min(max(affordable, minSearchSchedules), maxSearchSchedules))
}

// neighbor returns a list with two tasks swapped or one task moved, chosen at random. It returns nil if the
// choice changes nothing or breaks the order of priorities.
func neighbor(rng *rand.Rand, list []PlanTask) []PlanTask {
	from := rng.IntN(len(list))
	to := rng.IntN(len(list))
	if from == to || list[from].Priority != list[to].Priority {
		return nil
	}
	next := slices.Clone(list)
	if rng.IntN(2) == 0 {
		next[from], next[to] = next[to], next[from]
		return next
	}
	moved := next[from]
	next = slices.Insert(slices.Delete(next, from, from+1), to, moved)
	if !slices.IsSortedFunc(next, func(a, b PlanTask) int { return cmp.Compare(b.Priority, a.Priority) }) {
		return nil
	}
	return next
}
