package testrig

import (
	"math/rand/v2"
	"time"
)

// Fault is a fault that can be injected into a node, with the function that ends it.
type Fault struct {
	Name string
	// IsolatesLeader is true if the fault separates the leader from the other nodes when it is injected
	// into the leader.
	IsolatesLeader bool
	Inject         func(node int)
	Recover        func(node int)
}

// ScheduledFault is one fault of a schedule.
type ScheduledFault struct {
	Fault       Fault
	DelayBefore time.Duration // fault-free time before the fault
	Duration    time.Duration
	Node        int // random node, for faults that apply to any node
}

// scheduleStream is the second seed of the schedule's random generator. It makes the sequence differ from
// those of other generators with the same first seed.
const scheduleStream = 11

// delayDivisor sets the minimum fault-free time before a fault: the minimum duration of a fault divided
// by delayDivisor.
const delayDivisor = 5

// Schedule is an endless random sequence of faults. Each round contains every fault once, in random order.
// The same seed produces the same sequence.
type Schedule struct {
	Seed        uint64
	rng         *rand.Rand
	faults      []Fault
	order       []int // indexes into faults of the remaining faults of this round
	minDuration time.Duration
	nodes       int
}

// NewSchedule returns a schedule of faults for a number of nodes. Each fault lasts between minDuration and
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

// Next returns the next fault of the schedule.
func (s *Schedule) Next() ScheduledFault {
	if len(s.order) == 0 {
		s.order = s.rng.Perm(len(s.faults))
	}
	fault := s.faults[s.order[0]]
	s.order = s.order[1:]
	delayBefore := s.randomDuration(s.minDuration / delayDivisor)
	duration := s.randomDuration(s.minDuration)
	return ScheduledFault{Fault: fault, DelayBefore: delayBefore, Duration: duration, Node: s.rng.IntN(s.nodes)}
}

// randomDuration returns a random duration between minimum and twice minimum.
func (s *Schedule) randomDuration(minimum time.Duration) time.Duration {
	return minimum + time.Duration(s.rng.Int64N(int64(minimum)))
}
