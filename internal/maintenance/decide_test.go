package maintenance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

var seeds = flag.Int("seeds", 10, "orders of 300 machines that are simulated")

func TestMain(m *testing.M) {
	flag.Parse()
	rapidseed.Fix()
	os.Exit(m.Run())
}

// fleetOf is machines in three zones, five of them voters.
func fleetOf(n int) (list []Machine) {
	for i := range n {
		list = append(list, Machine{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%3), Cores: float64(1 + i%4), Speed: 1, State: MachineInService, Utilization: 0.3, Voter: i < 5})
	}
	return list
}

func ask(nodes ...string) (jobs []Order) {
	for i, n := range nodes {
		jobs = append(jobs, Order{Node: n, DurationMS: 60_000, Phase: PhaseRequested, Ticket: uint64(i + 1)})
	}
	return jobs
}

// TestRefusalReasons: each limit by itself keeps a machine in, and says so.
func TestRefusalReasons(t *testing.T) {
	loose := DisruptionBudget{MaxOut: 100, MaxOutPerZone: 100, MaxCapacityShare: 1, MaxZoneCapacityShare: 1, MaxUtilizationAgeMS: 1000, ConfirmTimeoutMS: 1000, OverrunAllowanceMS: 1000, WarmUpTimeoutMS: 1000, MaxFailures: 2, OvertakingPeriodMS: 1000}
	require.NoError(t, loose.Validate())
	for want, change := range map[string]func(v *Observation){
		"":                       func(*Observation) {},
		"1 are out, at most 1":   func(v *Observation) { v.Budget.MaxOut = 1; v.Orders[1].Phase = PhaseOut },
		`1 are out in zone "z0"`: func(v *Observation) { v.Budget.MaxOutPerZone = 1; v.Orders[2].Phase = PhaseFailed },
		"at most 9%":             func(v *Observation) { v.Budget.MaxCapacityShare = 0.09; v.Orders[1].Phase = PhaseDraining },
		`cores of zone "z0" would`: func(v *Observation) {
			v.Budget.MaxZoneCapacityShare = 0.2
			v.Orders[2].Phase, v.Machines[3].State = PhaseReturned, MachineWarmingUp
		},
		"are kept spare": func(v *Observation) { v.Budget.SpareCapacityShare = 0.9 },
		"12.5 cores are in use": func(v *Observation) {
			v.Machines[7].UtilizationAgeMS = 5000
			v.Budget.SpareCapacityShare = 0.6
			v.Machines[8].UtilizationAgeMS = -1
		},
		"3 of the store's 5 voters": func(v *Observation) { v.Budget.SpareVoters = 1; v.Machines[1].State = MachineUnreachable },
		"holds copies of the same": func(v *Observation) {
			v.Machines[0].ReplicaGroups, v.Machines[1].ReplicaGroups = []string{"r7"}, []string{"r7"}
			v.Orders[1].Phase = PhaseOut
		},
		"it is cold already":         func(v *Observation) { v.Machines[0].State = MachineWarmingUp },
		"nothing is known":           func(v *Observation) { v.Machines = v.Machines[1:] },
		"the order is paused: by us": func(v *Observation) { v.Pause = Pause{Paused: true, Reason: "by us"} },
		"2 machines failed":          func(v *Observation) { v.Orders[1].Phase, v.Orders[2].Phase = PhaseFailed, PhaseAbandoned },
	} {
		v := Observation{Machines: fleetOf(12), Orders: ask("m0", "m1", "m3"), Budget: loose}
		v.Orders[0].Priority = 1
		change(&v)
		d := Decide(v)
		if want == "" {
			assert.Contains(t, d.Transitions, Transition{Node: "m0", To: PhaseGranted})
		} else {
			assert.Contains(t, d.WaitReasons["m0"], want)
			assert.Equal(t, "m0", d.HeadOfQueue)
		}
	}
}

// TestTimedTransitions: what takes too long comes to its end, and each end says why.
func TestTimedTransitions(t *testing.T) {
	l := DefaultDisruptionBudget()
	l.AbandonAfterMS = 5000
	for _, c := range []struct {
		from  Phase
		state MachineState
		after int64
		to    Phase
	}{{PhaseGranted, MachineInService, l.ConfirmTimeoutMS + 1, PhaseRequested}, {PhaseDraining, MachineInService, l.OverrunAllowanceMS + 1, PhaseFailed}, {PhaseOut, MachineUnreachable, 60_000 + l.OverrunAllowanceMS + 1, PhaseFailed}, {PhaseOut, MachineUnreachable, 60_000, ""},
		{PhaseReturned, MachineInService, 1, PhaseCompleted}, {PhaseReturned, MachineWarmingUp, l.WarmUpTimeoutMS, ""}, {PhaseReturned, MachineWarmingUp, l.WarmUpTimeoutMS + 1, PhaseFailed}, {PhaseFailed, MachineUnreachable, 5001, PhaseAbandoned}, {PhaseFailed, MachineUnreachable, 5000, ""}} {
		j := ask("m0")[0]
		j.Phase = c.from
		m := fleetOf(1)[0]
		m.State = c.state
		to, _ := timedTransition(j, m, Observation{NowMS: c.after, Budget: l})
		assert.Equal(t, c.to, to, c)
	}
	late := ask("m0")[0]
	late.LatestStartMS = 10
	to, why := timedTransition(late, Machine{}, Observation{NowMS: 11, Budget: l})
	assert.Equal(t, PhaseExpired, to)
	assert.NotEmpty(t, why)
}

// TestOvertakingPeriod: one that could go if others did not overtake it is not overtaken for ever.
func TestOvertakingPeriod(t *testing.T) {
	v := Observation{Machines: fleetOf(30), Orders: ask("m3", "m10", "m11"), Budget: DefaultDisruptionBudget(), NowMS: 1}
	v.Budget.MaxOut, v.Budget.MaxCapacityShare, v.Budget.SpareCapacityShare, v.Budget.MaxOutPerZone = 3, 1, 0, 3
	v.Machines[3].ReplicaGroups, v.Machines[4].ReplicaGroups = []string{"r"}, []string{"r"}
	v.Machines[4].State = MachineUnreachable
	d := Decide(v)
	assert.Contains(t, d.WaitReasons["m3"], "copies")
	assert.Len(t, d.Transitions, 2, "others go first")
	v.NowMS = v.Budget.OvertakingPeriodMS + 2
	d = Decide(v)
	assert.Empty(t, d.Transitions)
	assert.Contains(t, d.WaitReasons["m10"], "m3 has waited")
}

// sim is an order in virtual time: machines, the store's jobs with their versions, deciders
// that decide on what they read and write later, and faults until a time.
type sim struct {
	t        require.TestingT
	rng      *rand.Rand
	now      int64
	machines []Machine // as they are
	seen     []Machine // as the deciders hear of them, late
	jobs     map[string]*simJob
	pause    Pause
	token    uint64 // of the present decider
	planned  []simDecision
	faults   int64     // until when
	late     float64   // share of the machines whose signs of life are missed
	load     []float64 // of all machines, taking turns
	noFence  bool
	noCAS    bool
	most     int // out at once, seen by an outside observer
	went     map[string]int
	broken   string
}

type simJob struct {
	Order
	version int
	at      int64 // when its machine does the next thing
}

type simDecision struct {
	token    uint64
	versions map[string]int
	d        Decision
	at       int64
}

const simTick = 500

func (s *sim) chance(p float64) bool { return s.now < s.faults && s.rng.Float64() < p }

func (s *sim) step(limits DisruptionBudget) {
	s.now += simTick
	if s.rng.IntN(4) == 0 { // what is heard of machines is up to some seconds old
		s.seen = append([]Machine(nil), s.machines...)
		for i := range s.seen {
			if len(s.load) > 0 {
				s.seen[i].Utilization = s.load[int(s.now/simTick/7)%len(s.load)]
			}
			if s.chance(s.late) {
				s.seen[i].State = MachineUnreachable // its signs of life are late
			}
		}
	}
	if s.chance(0.03) {
		s.token++ // another one has the lease; the one before may not have noticed
	}
	busy := slices.ContainsFunc(s.planned, func(p simDecision) bool { return p.token == s.token })
	if !busy { // it reads all, and writes after a while
		v := Observation{NowMS: s.now, Machines: s.seen, Budget: limits, Pause: s.pause}
		d := simDecision{token: s.token, versions: map[string]int{}, at: s.now}
		for _, m := range s.machines {
			if j, ok := s.jobs[m.Name]; ok {
				v.Orders, d.versions[m.Name] = append(v.Orders, j.Order), j.version
			}
		}
		d.d = Decide(v)
		if s.chance(0.2) {
			d.at += s.rng.Int64N(20_000)
		}
		s.planned = append(s.planned, d)
	}
	var rest []simDecision
	for _, p := range s.planned {
		if p.at > s.now {
			rest = append(rest, p)
		} else if s.noFence || p.token == s.token {
			s.write(p)
		}
	}
	s.planned = rest
	for i := range s.machines {
		s.live(&s.machines[i])
	}
	s.observe(limits)
}

// write is one transaction: all of it, or nothing if a job has changed.
func (s *sim) write(p simDecision) {
	for _, st := range p.d.Transitions {
		if !s.noCAS && s.jobs[st.Node].version != p.versions[st.Node] {
			return
		}
	}
	if p.d.PauseReason != "" {
		s.pause = Pause{Paused: true, Reason: p.d.PauseReason}
	}
	for _, st := range p.d.Transitions {
		j := s.jobs[st.Node]
		j.Phase, j.PhaseSinceMS, j.PhaseReason = st.To, s.now, st.Reason
		j.version++
		if st.To == PhaseGranted {
			j.GrantToken, j.at = p.token<<20+uint64(j.version), s.now+s.rng.Int64N(3000)
			if s.chance(0.1) {
				j.at += 30_000 // cut off: it hears of it when it has been taken back
			}
		}
	}
}

func (s *sim) to(j *simJob, p Phase, wait int64) {
	j.Phase, j.PhaseSinceMS, j.at = p, s.now, s.now+wait
	j.version++
}

// live is what a machine does by itself.
func (s *sim) live(m *Machine) {
	if m.State == MachineWarmingUp && s.rng.IntN(20) == 0 {
		m.State = MachineInService
	}
	j, ok := s.jobs[m.Name]
	if !ok || s.now < j.at {
		return
	}
	switch j.Phase {
	case PhaseGranted:
		s.to(j, PhaseDraining, 1000+s.rng.Int64N(3000)) // it confirms what it has read just now
		s.went[m.Name]++
	case PhaseDraining:
		m.State = MachineUnreachable
		long := j.DurationMS/2 + s.rng.Int64N(j.DurationMS/2)
		if s.chance(0.01) {
			long = 1 << 40 // never comes back
		}
		s.to(j, PhaseOut, long)
	case PhaseOut, PhaseFailed:
		if m.State == MachineUnreachable {
			m.State = MachineWarmingUp
			s.to(j, PhaseReturned, 0)
		}
	}
}

// observe is somebody outside, who counts the machines that do not serve.
func (s *sim) observe(limits DisruptionBudget) {
	out, zones := 0, map[string]int{}
	for _, m := range s.machines {
		j, ok := s.jobs[m.Name]
		if m.State != MachineInService || ok && j.Phase == PhaseDraining {
			out++
			zones[m.Zone]++
		}
	}
	s.most = max(s.most, out)
	for z, n := range zones {
		if n > limits.MaxOutPerZone {
			s.broken = fmt.Sprintf("%d out in %s", n, z)
		}
	}
	if out > limits.MaxOut {
		s.broken = fmt.Sprintf("%d out", out)
	}
}

func newSim(t require.TestingT, seed uint64, n int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 5)), machines: fleetOf(n), jobs: map[string]*simJob{}, went: map[string]int{}, token: 1, faults: 1 << 21, late: 0.05}
	s.seen = append([]Machine(nil), s.machines...)
	for i, m := range s.machines {
		s.jobs[m.Name] = &simJob{Order: Order{Node: m.Name, DurationMS: 60_000, Phase: PhaseRequested, Ticket: uint64(i + 1)}}
	}
	return s
}

func simLimits(n int) DisruptionBudget {
	l := DefaultDisruptionBudget()
	l.MaxOut, l.MaxOutPerZone, l.MaxCapacityShare, l.MaxZoneCapacityShare, l.SpareVoters = n/10, n/20, 0.3, 0.4, 1
	return l
}

// finish plays until nobody is left; an operator looks after those who failed.
func (s *sim) finish(l DisruptionBudget) bool {
	for s.now < 6_000_000 && s.broken == "" {
		s.step(l)
		left := 0
		for _, j := range s.jobs {
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
				if j := s.jobs[m.Name]; j.Phase == PhaseFailed {
					s.machines[i].State = MachineWarmingUp // repaired by hand
					s.to(j, PhaseReturned, 0)
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
		s := newSim(t, seed, 300)
		l := simLimits(300)
		ended := s.finish(l)
		require.Empty(t, s.broken, "seed %d", seed)
		require.True(t, ended, "seed %d ends", seed)
		for node, n := range s.went {
			require.Equal(t, 1, n, "seed %d: %s", seed, node)
		}
		require.Len(t, s.went, 300)
		long = max(long, time.Duration(s.now)*time.Millisecond)
	}
	t.Logf("%d orders of 300 machines, the longest %v", *seeds, long)
}

// TestOrdersNeedFenceAndComparison: without the fence on the decider's writes a limit is broken, and without
// the comparison of what it read a limit is, or a machine goes twice, in some order. Load
// that rises and falls has deciders choose different machines.
func TestOrdersNeedFenceAndComparison(t *testing.T) {
	find := func(leave func(*sim)) bool {
		for seed := range uint64(300) {
			s := newSim(t, seed, 12)
			s.load = []float64{0.3, 0.64}
			leave(s)
			l := simLimits(60)
			l.MaxOut, l.MaxOutPerZone, l.SpareCapacityShare, l.MaxFailures, l.SpareVoters = 1, 1, 0.3, 1000, 0
			s.finish(l)
			twice := false
			for _, n := range s.went {
				twice = twice || n > 1
			}
			if s.broken != "" || twice {
				return true
			}
		}
		return false
	}
	assert.False(t, find(func(*sim) {}))
	assert.True(t, find(func(s *sim) { s.noFence = true }), "without the fence")
	assert.True(t, find(func(s *sim) { s.noCAS = true }), "without comparison of what was read")
}

// TestPlan: no plan breaks a limit at any moment or is shorter than its bound; of few
// machines none is longer than any other order's.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := PlanInput{Budget: simLimits(60), ZoneCapacity: map[string]float64{}, MaxSchedules: 200}
		q.Budget.MaxOut, q.Budget.MaxOutPerZone = rapid.IntRange(1, 6).Draw(t, "most"), rapid.IntRange(1, 3).Draw(t, "most in a zone")
		for _, m := range fleetOf(60) {
			q.TotalCapacity += m.Capacity()
			q.ZoneCapacity[m.Zone] += m.Capacity()
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "tasks") {
			q.Tasks = append(q.Tasks, PlanTask{Node: fmt.Sprint("m", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")),
				Capacity: float64(rapid.IntRange(1, 4).Draw(t, "cores")), Duration: time.Duration(rapid.IntRange(1, 50).Draw(t, "length")) * time.Minute})
		}
		p, err := ComputePlan(q)
		require.NoError(t, err)
		assert.Len(t, p.Schedule, len(q.Tasks))
		assert.GreaterOrEqual(t, p.Duration, p.LowerBound)
		for i, x := range p.Schedule {
			others := append(append([]ScheduledTask(nil), p.Schedule[:i]...), p.Schedule[i+1:]...)
			assert.True(t, q.fits(others, x.PlanTask, x.Start), x.Node)
		}
		order := make([]PlanTask, 0, len(q.Tasks))
		for _, i := range rand.Perm(len(q.Tasks)) {
			order = append(order, q.Tasks[i])
		}
		if any, err := q.place(nil, order, 1<<62); err == nil && p.Exhaustive {
			assert.LessOrEqual(t, p.Duration, any.Duration)
		}
	})
}

// TestPlanConstraints: who is out stays so, windows are kept, copies never meet, and what can't
// fit is said.
func TestPlanConstraints(t *testing.T) {
	q := PlanInput{Budget: DefaultDisruptionBudget(), TotalCapacity: 100, ZoneCapacity: map[string]float64{"z": 100}}
	q.Budget.MaxOut, q.Budget.MaxOutPerZone = 2, 2
	q.Windows = []StartWindow{{time.Hour, 2 * time.Hour}, {25 * time.Hour, 26 * time.Hour}}
	q.Tasks = []PlanTask{{Node: "a", Zone: "z", Capacity: 1, AlreadyOut: true, Remaining: 90 * time.Minute, ReplicaGroups: []string{"r"}},
		{Node: "b", Zone: "z", Capacity: 1, Duration: time.Hour, ReplicaGroups: []string{"r"}}, {Node: "c", Zone: "z", Capacity: 1, Duration: time.Hour}}
	p, err := ComputePlan(q)
	require.NoError(t, err)
	at := map[string]time.Duration{}
	for _, x := range p.Schedule {
		at[x.Node] = x.Start
	}
	assert.Equal(t, map[string]time.Duration{"a": 0, "b": 90 * time.Minute, "c": time.Hour}, at)
	q.Windows = []StartWindow{{0, time.Minute}}
	_, err = ComputePlan(q)
	assert.ErrorIs(t, err, ErrNoPlan)
}
