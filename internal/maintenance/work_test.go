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
		list = append(list, Machine{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%3), Cores: float64(1 + i%4), Speed: 1, State: In, Busy: 0.3, Voter: i < 5})
	}
	return list
}

func ask(nodes ...string) (jobs []Job) {
	for i, n := range nodes {
		jobs = append(jobs, Job{Node: n, ForMS: 60_000, Phase: Asked, Ticket: uint64(i + 1)})
	}
	return jobs
}

// TestWhy: each limit by itself keeps a machine in, and says so.
func TestWhy(t *testing.T) {
	loose := Limits{Most: 100, MostZone: 100, Share: 1, ShareZone: 1, GaugeMS: 1000, ConfirmMS: 1000, OverMS: 1000, WarmMS: 1000, Failures: 2, PatienceMS: 1000}
	require.NoError(t, loose.Check())
	for want, change := range map[string]func(v *View){
		"":                          func(*View) {},
		"1 are out, at most 1":      func(v *View) { v.Limits.Most = 1; v.Jobs[1].Phase = Out },
		`1 are out in zone "z0"`:    func(v *View) { v.Limits.MostZone = 1; v.Jobs[2].Phase = Failed },
		"at most 9%":                func(v *View) { v.Limits.Share = 0.09; v.Jobs[1].Phase = Draining },
		`cores of zone "z0" would`:  func(v *View) { v.Limits.ShareZone = 0.2; v.Jobs[2].Phase, v.Machines[3].State = Back, Cold },
		"are kept spare":            func(v *View) { v.Limits.Spare = 0.9 },
		"12.5 cores are in use":     func(v *View) { v.Machines[7].AgeMS = 5000; v.Limits.Spare = 0.6; v.Machines[8].AgeMS = -1 },
		"3 of the store's 5 voters": func(v *View) { v.Limits.VoterSpare = 1; v.Machines[1].State = Away },
		"holds copies of the same": func(v *View) {
			v.Machines[0].Copies, v.Machines[1].Copies = []string{"r7"}, []string{"r7"}
			v.Jobs[1].Phase = Out
		},
		"it is cold already":         func(v *View) { v.Machines[0].State = Cold },
		"nothing is known":           func(v *View) { v.Machines = v.Machines[1:] },
		"the order is paused: by us": func(v *View) { v.Pause = Pause{Paused: true, Why: "by us"} },
		"2 machines failed":          func(v *View) { v.Jobs[1].Phase, v.Jobs[2].Phase = Failed, GivenUp },
	} {
		v := View{Machines: fleetOf(12), Jobs: ask("m0", "m1", "m3"), Limits: loose}
		v.Jobs[0].Priority = 1
		change(&v)
		d := Decide(v)
		if want == "" {
			assert.Contains(t, d.Steps, Step{Node: "m0", To: Granted})
		} else {
			assert.Contains(t, d.Waits["m0"], want)
			assert.Equal(t, "m0", d.First)
		}
	}
}

// TestOverdue: what takes too long comes to its end, and each end says why.
func TestOverdue(t *testing.T) {
	l := DefaultLimits()
	l.GiveUpMS = 5000
	for _, c := range []struct {
		from  Phase
		state State
		after int64
		to    Phase
	}{{Granted, In, l.ConfirmMS + 1, Asked}, {Draining, In, l.OverMS + 1, Failed}, {Out, Away, 60_000 + l.OverMS + 1, Failed}, {Out, Away, 60_000, ""},
		{Back, In, 1, Warm}, {Back, Cold, l.WarmMS, ""}, {Back, Cold, l.WarmMS + 1, Failed}, {Failed, Away, 5001, GivenUp}, {Failed, Away, 5000, ""}} {
		j := ask("m0")[0]
		j.Phase = c.from
		m := fleetOf(1)[0]
		m.State = c.state
		to, _ := overdue(j, m, View{NowMS: c.after, Limits: l})
		assert.Equal(t, c.to, to, c)
	}
	late := ask("m0")[0]
	late.LatestMS = 10
	to, why := overdue(late, Machine{}, View{NowMS: 11, Limits: l})
	assert.Equal(t, Late, to)
	assert.NotEmpty(t, why)
}

// TestPatience: one that could go if others did not overtake it is not overtaken for ever.
func TestPatience(t *testing.T) {
	v := View{Machines: fleetOf(30), Jobs: ask("m3", "m10", "m11"), Limits: DefaultLimits(), NowMS: 1}
	v.Limits.Most, v.Limits.Share, v.Limits.Spare, v.Limits.MostZone = 3, 1, 0, 3
	v.Machines[3].Copies, v.Machines[4].Copies = []string{"r"}, []string{"r"}
	v.Machines[4].State = Away
	d := Decide(v)
	assert.Contains(t, d.Waits["m3"], "copies")
	assert.Len(t, d.Steps, 2, "others go first")
	v.NowMS = v.Limits.PatienceMS + 2
	d = Decide(v)
	assert.Empty(t, d.Steps)
	assert.Contains(t, d.Waits["m10"], "m3 has waited")
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
	Job
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

func (s *sim) step(limits Limits) {
	s.now += simTick
	if s.rng.IntN(4) == 0 { // what is heard of machines is up to some seconds old
		s.seen = append([]Machine(nil), s.machines...)
		for i := range s.seen {
			if len(s.load) > 0 {
				s.seen[i].Busy = s.load[int(s.now/simTick/7)%len(s.load)]
			}
			if s.chance(s.late) {
				s.seen[i].State = Away // its signs of life are late
			}
		}
	}
	if s.chance(0.03) {
		s.token++ // another one has the lease; the one before may not have noticed
	}
	busy := slices.ContainsFunc(s.planned, func(p simDecision) bool { return p.token == s.token })
	if !busy { // it reads all, and writes after a while
		v := View{NowMS: s.now, Machines: s.seen, Limits: limits, Pause: s.pause}
		d := simDecision{token: s.token, versions: map[string]int{}, at: s.now}
		for _, m := range s.machines {
			if j, ok := s.jobs[m.Name]; ok {
				v.Jobs, d.versions[m.Name] = append(v.Jobs, j.Job), j.version
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
	for _, st := range p.d.Steps {
		if !s.noCAS && s.jobs[st.Node].version != p.versions[st.Node] {
			return
		}
	}
	if p.d.Pause != "" {
		s.pause = Pause{Paused: true, Why: p.d.Pause}
	}
	for _, st := range p.d.Steps {
		j := s.jobs[st.Node]
		j.Phase, j.SinceMS, j.Why = st.To, s.now, st.Why
		j.version++
		if st.To == Granted {
			j.Grant, j.at = p.token<<20+uint64(j.version), s.now+s.rng.Int64N(3000)
			if s.chance(0.1) {
				j.at += 30_000 // cut off: it hears of it when it has been taken back
			}
		}
	}
}

func (s *sim) to(j *simJob, p Phase, wait int64) {
	j.Phase, j.SinceMS, j.at = p, s.now, s.now+wait
	j.version++
}

// live is what a machine does by itself.
func (s *sim) live(m *Machine) {
	if m.State == Cold && s.rng.IntN(20) == 0 {
		m.State = In
	}
	j, ok := s.jobs[m.Name]
	if !ok || s.now < j.at {
		return
	}
	switch j.Phase {
	case Granted:
		s.to(j, Draining, 1000+s.rng.Int64N(3000)) // it confirms what it has read just now
		s.went[m.Name]++
	case Draining:
		m.State = Away
		long := j.ForMS/2 + s.rng.Int64N(j.ForMS/2)
		if s.chance(0.01) {
			long = 1 << 40 // never comes back
		}
		s.to(j, Out, long)
	case Out, Failed:
		if m.State == Away {
			m.State = Cold
			s.to(j, Back, 0)
		}
	}
}

// observe is somebody outside, who counts the machines that do not serve.
func (s *sim) observe(limits Limits) {
	out, zones := 0, map[string]int{}
	for _, m := range s.machines {
		j, ok := s.jobs[m.Name]
		if m.State != In || ok && j.Phase == Draining {
			out++
			zones[m.Zone]++
		}
	}
	s.most = max(s.most, out)
	for z, n := range zones {
		if n > limits.MostZone {
			s.broken = fmt.Sprintf("%d out in %s", n, z)
		}
	}
	if out > limits.Most {
		s.broken = fmt.Sprintf("%d out", out)
	}
}

func newSim(t require.TestingT, seed uint64, n int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 5)), machines: fleetOf(n), jobs: map[string]*simJob{}, went: map[string]int{}, token: 1, faults: 1 << 21, late: 0.05}
	s.seen = append([]Machine(nil), s.machines...)
	for i, m := range s.machines {
		s.jobs[m.Name] = &simJob{Job: Job{Node: m.Name, ForMS: 60_000, Phase: Asked, Ticket: uint64(i + 1)}}
	}
	return s
}

func simLimits(n int) Limits {
	l := DefaultLimits()
	l.Most, l.MostZone, l.Share, l.ShareZone, l.VoterSpare = n/10, n/20, 0.3, 0.4, 1
	return l
}

// finish plays until nobody is left; an operator looks after those who failed.
func (s *sim) finish(l Limits) bool {
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
				if j := s.jobs[m.Name]; j.Phase == Failed {
					s.machines[i].State = Cold // repaired by hand
					s.to(j, Back, 0)
					s.pause.Seen = append(s.pause.Seen, m.Name)
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

// TestOrderGuards: without the fence on the decider's writes a limit is broken, and without
// the comparison of what it read a limit is, or a machine goes twice, in some order. Load
// that rises and falls has deciders choose different machines.
func TestOrderGuards(t *testing.T) {
	find := func(leave func(*sim)) bool {
		for seed := range uint64(300) {
			s := newSim(t, seed, 12)
			s.load = []float64{0.3, 0.64}
			leave(s)
			l := simLimits(60)
			l.Most, l.MostZone, l.Spare, l.Failures, l.VoterSpare = 1, 1, 0.3, 1000, 0
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
		q := Question{Limits: simLimits(60), Zones: map[string]float64{}, Searches: 200}
		q.Limits.Most, q.Limits.MostZone = rapid.IntRange(1, 6).Draw(t, "most"), rapid.IntRange(1, 3).Draw(t, "most in a zone")
		for _, m := range fleetOf(60) {
			q.Total += m.Capacity()
			q.Zones[m.Zone] += m.Capacity()
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "tasks") {
			q.Tasks = append(q.Tasks, Task{Node: fmt.Sprint("m", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")),
				Capacity: float64(rapid.IntRange(1, 4).Draw(t, "cores")), Length: time.Duration(rapid.IntRange(1, 50).Draw(t, "length")) * time.Minute})
		}
		p, err := MakePlan(q)
		require.NoError(t, err)
		assert.Len(t, p.Placed, len(q.Tasks))
		assert.GreaterOrEqual(t, p.Length, p.Bound)
		for i, x := range p.Placed {
			others := append(append([]Placed(nil), p.Placed[:i]...), p.Placed[i+1:]...)
			assert.True(t, q.fits(others, x.Task, x.From), x.Node)
		}
		order := make([]Task, 0, len(q.Tasks))
		for _, i := range rand.Perm(len(q.Tasks)) {
			order = append(order, q.Tasks[i])
		}
		if any, err := q.place(nil, order, 1<<62); err == nil && p.Exact {
			assert.LessOrEqual(t, p.Length, any.Length)
		}
	})
}

// TestPlanAhead: who is out stays so, windows are kept, copies never meet, and what can't
// fit is said.
func TestPlanAhead(t *testing.T) {
	q := Question{Limits: DefaultLimits(), Total: 100, Zones: map[string]float64{"z": 100}}
	q.Limits.Most, q.Limits.MostZone = 2, 2
	q.Windows = []Window{{time.Hour, 2 * time.Hour}, {25 * time.Hour, 26 * time.Hour}}
	q.Tasks = []Task{{Node: "a", Zone: "z", Capacity: 1, Fixed: true, Left: 90 * time.Minute, Copies: []string{"r"}},
		{Node: "b", Zone: "z", Capacity: 1, Length: time.Hour, Copies: []string{"r"}}, {Node: "c", Zone: "z", Capacity: 1, Length: time.Hour}}
	p, err := MakePlan(q)
	require.NoError(t, err)
	at := map[string]time.Duration{}
	for _, x := range p.Placed {
		at[x.Node] = x.From
	}
	assert.Equal(t, map[string]time.Duration{"a": 0, "b": 90 * time.Minute, "c": time.Hour}, at)
	q.Windows = []Window{{0, time.Minute}}
	_, err = MakePlan(q)
	assert.ErrorIs(t, err, ErrPlan)
}
