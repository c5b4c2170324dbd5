package maintenance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// simulation is an order in virtual time: machines, the store's jobs with their versions, deciders
// that decide on what they read and write later, and faults until a time.
type simulation struct {
	t           require.TestingT
	rng         *rand.Rand
	now         int64
	machines    []Machine // as they are
	observed    []Machine // as the deciders hear of them, late
	orders      map[string]*simOrder
	pause       Pause
	token       uint64 // of the present decider
	pending     []simDecision
	faultsUntil int64     // until when
	lateShare   float64   // share of the machines whose signs of life are missed
	load        []float64 // of all machines, taking turns
	noFence     bool
	noCompare   bool
	maxOut      int // out at once, seen by an outside observer
	timesOut    map[string]int
	violation   string
}

type simOrder struct {
	Order
	version    int
	nextStepAt int64 // when its machine does the next thing
}

type simDecision struct {
	token        uint64
	readVersions map[string]int
	decision     Decision
	writtenAt    int64
}

const simulationStepMS = 500

func (s *simulation) chance(p float64) bool { return s.now < s.faultsUntil && s.rng.Float64() < p }

func (s *simulation) step(limits DisruptionBudget) {
	s.now += simulationStepMS
	if s.rng.IntN(4) == 0 { // what is heard of machines is up to some seconds old
		s.observed = append([]Machine(nil), s.machines...)
		for i := range s.observed {
			if len(s.load) > 0 {
				s.observed[i].Utilization = s.load[int(s.now/simulationStepMS/7)%len(s.load)]
			}
			if s.chance(s.lateShare) {
				s.observed[i].State = MachineUnreachable // its signs of life are late
			}
		}
	}
	if s.chance(0.03) {
		s.token++ // another one has the lease; the one before may not have noticed
	}
	busy := slices.ContainsFunc(s.pending, func(p simDecision) bool { return p.token == s.token })
	if !busy { // it reads all, and writes after a while
		v := Observation{NowMS: s.now, Machines: s.observed, Budget: limits, Pause: s.pause}
		d := simDecision{token: s.token, readVersions: map[string]int{}, writtenAt: s.now}
		for _, m := range s.machines {
			if j, ok := s.orders[m.Name]; ok {
				v.Orders, d.readVersions[m.Name] = append(v.Orders, j.Order), j.version
			}
		}
		d.decision = Decide(v)
		if s.chance(0.2) {
			d.writtenAt += s.rng.Int64N(20_000)
		}
		s.pending = append(s.pending, d)
	}
	var rest []simDecision
	for _, p := range s.pending {
		if p.writtenAt > s.now {
			rest = append(rest, p)
		} else if s.noFence || p.token == s.token {
			s.write(p)
		}
	}
	s.pending = rest
	for i := range s.machines {
		s.stepMachine(&s.machines[i])
	}
	s.observe(limits)
}

// write is one transaction: all of it, or nothing if a job has changed.
func (s *simulation) write(p simDecision) {
	for _, st := range p.decision.Transitions {
		if !s.noCompare && s.orders[st.Machine].version != p.readVersions[st.Machine] {
			return
		}
	}
	if p.decision.PauseReason != "" {
		s.pause = Pause{Paused: true, Reason: p.decision.PauseReason}
	}
	for _, st := range p.decision.Transitions {
		j := s.orders[st.Machine]
		j.Phase, j.PhaseSinceMS, j.PhaseReason = st.To, s.now, st.Reason
		j.version++
		if st.To == PhaseGranted {
			j.GrantToken, j.nextStepAt = p.token<<20+uint64(j.version), s.now+s.rng.Int64N(3000)
			if s.chance(0.1) {
				j.nextStepAt += 30_000 // cut off: it hears of it when it has been taken back
			}
		}
	}
}

func (s *simulation) setPhase(j *simOrder, p Phase, wait int64) {
	j.Phase, j.PhaseSinceMS, j.nextStepAt = p, s.now, s.now+wait
	j.version++
}

// stepMachine is what a machine does by itself.
func (s *simulation) stepMachine(m *Machine) {
	if m.State == MachineWarmingUp && s.rng.IntN(20) == 0 {
		m.State = MachineInService
	}
	j, ok := s.orders[m.Name]
	if !ok || s.now < j.nextStepAt {
		return
	}
	switch j.Phase {
	case PhaseGranted:
		s.setPhase(j, PhaseDraining, 1000+s.rng.Int64N(3000)) // it confirms what it has read just now
		s.timesOut[m.Name]++
	case PhaseDraining:
		m.State = MachineUnreachable
		long := j.DurationMS/2 + s.rng.Int64N(j.DurationMS/2)
		if s.chance(0.01) {
			long = 1 << 40 // never comes back
		}
		s.setPhase(j, PhaseOut, long)
	case PhaseOut, PhaseFailed:
		if m.State == MachineUnreachable {
			m.State = MachineWarmingUp
			s.setPhase(j, PhaseReturned, 0)
		}
	}
}

// observe is somebody outside, who counts the machines that do not serve.
func (s *simulation) observe(limits DisruptionBudget) {
	out, zones := 0, map[string]int{}
	for _, m := range s.machines {
		j, ok := s.orders[m.Name]
		if m.State != MachineInService || ok && j.Phase == PhaseDraining {
			out++
			zones[m.Zone]++
		}
	}
	s.maxOut = max(s.maxOut, out)
	for z, n := range zones {
		if n > limits.MaxOutPerZone {
			s.violation = fmt.Sprintf("%d out in %s", n, z)
		}
	}
	if out > limits.MaxOut {
		s.violation = fmt.Sprintf("%d out", out)
	}
}

func newSimulation(t require.TestingT, seed uint64, n int) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 5)), machines: newMachines(n), orders: map[string]*simOrder{}, timesOut: map[string]int{}, token: 1, faultsUntil: 1 << 21, lateShare: 0.05}
	s.observed = append([]Machine(nil), s.machines...)
	for i, m := range s.machines {
		s.orders[m.Name] = &simOrder{Order: Order{Machine: m.Name, DurationMS: 60_000, Phase: PhaseRequested, Ticket: uint64(i + 1)}}
	}
	return s
}

func simulationBudget(n int) DisruptionBudget {
	l := DefaultDisruptionBudget()
	l.MaxOut, l.MaxOutPerZone, l.MaxCapacityFraction, l.MaxZoneCapacityFraction, l.SpareVoters = n/10, n/20, 0.3, 0.4, 1
	return l
}

// finish plays until nobody is left; an operator looks after those who failed.
func (s *simulation) finish(l DisruptionBudget) bool {
	for s.now < 6_000_000 && s.violation == "" {
		s.step(l)
		left := 0
		for _, j := range s.orders {
			if j.Phase.Open() {
				left++
			}
		}
		if left == 0 {
			return true
		}
		if s.pause.Paused && s.rng.IntN(20) == 0 || s.rng.IntN(2000) == 0 {
			s.pause = Pause{}
			for i, m := range s.machines {
				if j := s.orders[m.Name]; j.Phase == PhaseFailed {
					s.machines[i].State = MachineWarmingUp // repaired by hand
					s.setPhase(j, PhaseReturned, 0)
					s.pause.AcknowledgedFailures = append(s.pause.AcknowledgedFailures, m.Name)
				}
			}
		}
	}
	return false
}

// TestOrders: 300 machines, all asked for, with late views, deciders that change and write
// late, grants that are lost, machines that don't return: limits hold at each moment, each
// machine goes once, the order pauses for failures, and ends.
func TestOrders(t *testing.T) {
	var long time.Duration
	for seed := range uint64(*seeds) {
		s := newSimulation(t, seed, 300)
		l := simulationBudget(300)
		ended := s.finish(l)
		require.Empty(t, s.violation, "seed %d", seed)
		require.True(t, ended, "seed %d ends", seed)
		for node, n := range s.timesOut {
			require.Equal(t, 1, n, "seed %d: %s", seed, node)
		}
		require.Len(t, s.timesOut, 300)
		long = max(long, time.Duration(s.now)*time.Millisecond)
	}
	t.Logf("%d orders of 300 machines, the longest %v", *seeds, long)
}

// TestOrdersNeedFenceAndComparison: without the fence on the decider's writes a limit is broken, and without
// the comparison of what it read a limit is, or a machine goes twice, in some order. Load
// that rises and falls has deciders choose different machines.
func TestOrdersNeedFenceAndComparison(t *testing.T) {
	find := func(leave func(*simulation)) bool {
		for seed := range uint64(300) {
			s := newSimulation(t, seed, 12)
			s.load = []float64{0.3, 0.64}
			leave(s)
			l := simulationBudget(60)
			l.MaxOut, l.MaxOutPerZone, l.SpareCapacityFraction, l.MaxFailures, l.SpareVoters = 1, 1, 0.3, 1000, 0
			s.finish(l)
			twice := false
			for _, n := range s.timesOut {
				twice = twice || n > 1
			}
			if s.violation != "" || twice {
				return true
			}
		}
		return false
	}
	assert.False(t, find(func(*simulation) {}))
	assert.True(t, find(func(s *simulation) { s.noFence = true }), "without the fence")
	assert.True(t, find(func(s *simulation) { s.noCompare = true }), "without comparison of what was read")
}
