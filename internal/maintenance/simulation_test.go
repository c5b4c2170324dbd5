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

// simulation runs the maintenance of a fleet in virtual time. It simulates the machines, the orders in the store with
// their versions, and controllers that decide on a snapshot and write the decision later. It injects faults until
// faultsUntilMS.
type simulation struct {
	t                       require.TestingT
	rng                     *rand.Rand
	nowMS                   int64     // virtual time
	machines                []Machine // actual state
	observed                []Machine // state known to the controllers, which may be outdated
	orders                  map[string]*simOrder
	pause                   Pause
	token                   uint64         // fencing token of the current controller
	pending                 []simDecision  // decisions that are not written yet
	faultsUntilMS           int64          // end of fault injection, in virtual time
	missedHeartbeatFraction float64        // fraction of the machines whose heartbeats are missed
	utilizations            []float64      // utilizations that all machines have in turn; if empty, each machine keeps its own
	skipFence               bool           // writes ignore the fencing token
	skipCompare             bool           // writes ignore the versions read
	maxOut                  int            // maximum number of machines out of service at a time
	timesOut                map[string]int // number of times that a machine started to drain
	violation               string         // budget limit that was exceeded
}

type simOrder struct {
	Order
	version      int
	nextStepAtMS int64 // virtual time of the machine's next action
}

type simDecision struct {
	token        uint64
	readVersions map[string]int
	decision     Decision
	writtenAtMS  int64 // virtual time at which it is written
}

const simulationStepMS = 500 // virtual time per step

// chance reports true with a probability, until the faults end.
func (s *simulation) chance(p float64) bool { return s.nowMS < s.faultsUntilMS && s.rng.Float64() < p }

// step advances the virtual time by simulationStepMS: controllers decide, due decisions are written, and machines act.
func (s *simulation) step(budget DisruptionBudget) {
	s.nowMS += simulationStepMS
	if s.rng.IntN(4) == 0 { // the observed state is up to a few seconds old
		s.observed = append([]Machine(nil), s.machines...)
		for i := range s.observed {
			if len(s.utilizations) > 0 {
				s.observed[i].Utilization = s.utilizations[int(s.nowMS/simulationStepMS/7)%len(s.utilizations)]
			}
			if s.chance(s.missedHeartbeatFraction) {
				s.observed[i].State = MachineUnreachable // its heartbeats are missed
			}
		}
	}
	if s.chance(0.03) {
		s.token++ // another controller has the lease; the previous one may not have noticed
	}
	deciding := slices.ContainsFunc(s.pending, func(p simDecision) bool { return p.token == s.token })
	if !deciding { // reads the state now, and writes the decision later
		obs := Observation{NowMS: s.nowMS, Machines: s.observed, Budget: budget, Pause: s.pause}
		pending := simDecision{token: s.token, readVersions: map[string]int{}, writtenAtMS: s.nowMS}
		for _, m := range s.machines {
			if order, ok := s.orders[m.Name]; ok {
				obs.Orders, pending.readVersions[m.Name] = append(obs.Orders, order.Order), order.version
			}
		}
		pending.decision = Decide(obs)
		if s.chance(0.2) {
			pending.writtenAtMS += s.rng.Int64N(20_000)
		}
		s.pending = append(s.pending, pending)
	}
	var rest []simDecision
	for _, p := range s.pending {
		if p.writtenAtMS > s.nowMS {
			rest = append(rest, p)
		} else if s.skipFence || p.token == s.token {
			s.write(p)
		}
	}
	s.pending = rest
	for i := range s.machines {
		s.stepMachine(&s.machines[i])
	}
	s.observe(budget)
}

// write writes a decision in one transaction. It writes nothing if one of the orders has changed since it was read.
func (s *simulation) write(p simDecision) {
	for _, transition := range p.decision.Transitions {
		if !s.skipCompare && s.orders[transition.Machine].version != p.readVersions[transition.Machine] {
			return
		}
	}
	if p.decision.PauseReason != "" {
		s.pause = Pause{Paused: true, Reason: p.decision.PauseReason}
	}
	for _, transition := range p.decision.Transitions {
		order := s.orders[transition.Machine]
		order.Phase, order.PhaseSinceMS, order.PhaseReason = transition.To, s.nowMS, transition.Reason
		order.version++
		if transition.To == PhaseGranted {
			order.GrantToken, order.nextStepAtMS = p.token<<20+uint64(order.version), s.nowMS+s.rng.Int64N(3000)
			if s.chance(0.1) {
				order.nextStepAtMS += 30_000 // partitioned: the machine learns of the grant after it was revoked
			}
		}
	}
}

// setPhase changes the phase of an order; its machine acts again after waitMS.
func (s *simulation) setPhase(order *simOrder, phase Phase, waitMS int64) {
	order.Phase, order.PhaseSinceMS, order.nextStepAtMS = phase, s.nowMS, s.nowMS+waitMS
	order.version++
}

// stepMachine simulates one step of a machine.
func (s *simulation) stepMachine(m *Machine) {
	if m.State == MachineWarmingUp && s.rng.IntN(20) == 0 {
		m.State = MachineInService
	}
	order, ok := s.orders[m.Name]
	if !ok || s.nowMS < order.nextStepAtMS {
		return
	}
	switch order.Phase {
	case PhaseGranted:
		s.setPhase(order, PhaseDraining, 1000+s.rng.Int64N(3000)) // the machine confirms the grant that it has just read
		s.timesOut[m.Name]++
	case PhaseDraining:
		m.State = MachineUnreachable
		outMS := order.DurationMS/2 + s.rng.Int64N(order.DurationMS/2)
		if s.chance(0.01) {
			outMS = 1 << 40 // never returns
		}
		s.setPhase(order, PhaseOut, outMS)
	case PhaseOut, PhaseFailed:
		if m.State == MachineUnreachable {
			m.State = MachineWarmingUp
			s.setPhase(order, PhaseReturned, 0)
		}
	}
}

// observe counts the machines that are actually out of service, and records a violation of the budget.
func (s *simulation) observe(budget DisruptionBudget) {
	out, zones := 0, map[string]int{}
	for _, m := range s.machines {
		order, ok := s.orders[m.Name]
		if m.State != MachineInService || ok && order.Phase == PhaseDraining {
			out++
			zones[m.Zone]++
		}
	}
	s.maxOut = max(s.maxOut, out)
	for z, n := range zones {
		if n > budget.MaxOutPerZone {
			s.violation = fmt.Sprintf("%d out in %s", n, z)
		}
	}
	if out > budget.MaxOut {
		s.violation = fmt.Sprintf("%d out", out)
	}
}

// newSimulation returns a simulation of n machines, each with an order, with faults for the first 35 minutes.
func newSimulation(t require.TestingT, seed uint64, n int) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 5)), machines: newMachines(n), orders: map[string]*simOrder{}, timesOut: map[string]int{}, token: 1, faultsUntilMS: 1 << 21, missedHeartbeatFraction: 0.05}
	s.observed = append([]Machine(nil), s.machines...)
	for i, m := range s.machines {
		s.orders[m.Name] = &simOrder{Order: Order{Machine: m.Name, DurationMS: 60_000, Phase: PhaseRequested, Ticket: uint64(i + 1)}}
	}
	return s
}

// simulationBudget returns a budget for n machines: a tenth of them may be out, and a twentieth per zone.
func simulationBudget(n int) DisruptionBudget {
	budget := DefaultDisruptionBudget()
	budget.MaxOut, budget.MaxOutPerZone, budget.MaxCapacityFraction, budget.MaxZoneCapacityFraction, budget.SpareVoters = n/10, n/20, 0.3, 0.4, 1
	return budget
}

// finish runs the simulation until no order is open, and reports whether that happened in time. A simulated operator
// repairs failed machines and resumes maintenance.
func (s *simulation) finish(budget DisruptionBudget) bool {
	for s.nowMS < 6_000_000 && s.violation == "" {
		s.step(budget)
		open := 0
		for _, order := range s.orders {
			if order.Phase.IsOpen() {
				open++
			}
		}
		if open == 0 {
			return true
		}
		if s.pause.Paused && s.rng.IntN(20) == 0 || s.rng.IntN(2000) == 0 {
			s.pause = Pause{}
			for i, m := range s.machines {
				if order := s.orders[m.Name]; order.Phase == PhaseFailed {
					s.machines[i].State = MachineWarmingUp // repaired by the operator
					s.setPhase(order, PhaseReturned, 0)
					s.pause.AcknowledgedFailures = append(s.pause.AcknowledgedFailures, m.Name)
				}
			}
		}
	}
	return false
}

// TestOrders simulates orders for 300 machines with outdated observations, controllers that change and write late, lost
// grants and machines that don't return. It checks that the budget holds at all times, that each machine is taken out
// exactly once, and that all orders end although maintenance pauses for failures.
func TestOrders(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(*seeds) {
		s := newSimulation(t, seed, 300)
		budget := simulationBudget(300)
		finished := s.finish(budget)
		require.Empty(t, s.violation, "seed %d", seed)
		require.True(t, finished, "seed %d: orders are still open", seed)
		for machine, n := range s.timesOut {
			require.Equal(t, 1, n, "seed %d: %s", seed, machine)
		}
		require.Len(t, s.timesOut, 300)
		longest = max(longest, time.Duration(s.nowMS)*time.Millisecond)
	}
	t.Logf("%d rounds of maintenance of 300 machines, the longest %v", *seeds, longest)
}

// TestOrdersNeedFenceAndComparison checks that the fencing token and the version comparison of the controller's writes
// are both needed: without either, the budget is exceeded, or a machine is taken out twice, for some seed. The load
// alternates so that consecutive controllers choose different machines.
func TestOrdersNeedFenceAndComparison(t *testing.T) {
	findsViolation := func(configure func(*simulation)) bool {
		for seed := range uint64(300) {
			s := newSimulation(t, seed, 12)
			s.utilizations = []float64{0.3, 0.64}
			configure(s)
			budget := simulationBudget(60)
			budget.MaxOut, budget.MaxOutPerZone, budget.SpareCapacityFraction, budget.MaxFailures, budget.SpareVoters = 1, 1, 0.3, 1000, 0
			s.finish(budget)
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
	assert.False(t, findsViolation(func(*simulation) {}))
	assert.True(t, findsViolation(func(s *simulation) { s.skipFence = true }), "without the fencing token")
	assert.True(t, findsViolation(func(s *simulation) { s.skipCompare = true }), "without the version comparison")
}
