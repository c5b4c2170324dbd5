package testrig

import (
	"math/rand/v2"
	"time"
)

// Fault is a fault of one node that can be injected and ended.
type Fault struct {
	Name string
	// IsolatesLeader reports whether the others lose their leader if it is the node.
	IsolatesLeader bool
	Inject         func(node int)
	Recover        func(node int)
}

// ScheduledFault is one fault of a schedule.
type ScheduledFault struct {
	Fault       Fault
	DelayBefore time.Duration // without a fault
	Duration    time.Duration
	Node        int // for faults that choose a node
}

// scheduleStream is the second seed of the generator, which sets schedules apart from
// other uses of the same seed.
const scheduleStream = 11

// quietDivisor is the part of the shortest duration that the quiet time before a fault
// is at least.
const quietDivisor = 5

// Schedule draws faults from a seed, without end. Each round has all of them once, in
// a random order. The same seed gives the same faults.
type Schedule struct {
	Seed        uint64
	rng         *rand.Rand
	faults      []Fault
	order       []int // of the rest of this round: indexes of faults
	minDuration time.Duration
	nodes       int
}

// NewSchedule returns a schedule of faults on a number of nodes. Each takes once to
// twice minDuration.
func NewSchedule(seed uint64, nodes int, minDuration time.Duration, faults ...Fault) *Schedule {
	return &Schedule{
		Seed:        seed,
		rng:         rand.New(rand.NewPCG(seed, scheduleStream)),
		faults:      faults,
		minDuration: minDuration,
		nodes:       nodes,
	}
}

// Next draws the next fault.
func (s *Schedule) Next() ScheduledFault {
	if len(s.order) == 0 {
		s.order = s.rng.Perm(len(s.faults))
	}
	fault := s.faults[s.order[0]]
	s.order = s.order[1:]
	quietBefore := s.drawDuration(s.minDuration / quietDivisor)
	duration := s.drawDuration(s.minDuration)
	return ScheduledFault{Fault: fault, DelayBefore: quietBefore, Duration: duration, Node: s.rng.IntN(s.nodes)}
}

// drawDuration draws from once to twice a duration.
func (s *Schedule) drawDuration(shortest time.Duration) time.Duration {
	return shortest + time.Duration(s.rng.Int64N(int64(shortest)))
}
