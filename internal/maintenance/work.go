// Package maintenance decides which machines may be taken out for work, when, and why the others
// wait. It does no I/O and reads no clock: what is known goes in, what is to be done comes
// out, and anybody who knows the same decides the same.
package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"
)

// Phase is how far a machine's work is.
type Phase string

// In their order; Failed and later ones are ends.
const (
	PhaseRequested Phase = "asked"
	PhaseGranted   Phase = "granted"  // it may go, and has not confirmed yet that it does
	PhaseDraining  Phase = "draining" // it has confirmed, and takes nothing new
	PhaseOut       Phase = "out"
	PhaseReturned  Phase = "back"     // it runs again, and is not warm yet
	PhaseCompleted Phase = "warm"     // done
	PhaseFailed    Phase = "failed"   // it overstays, died, or its work failed: it keeps its place
	PhaseAbandoned Phase = "given-up" // it keeps its place no more
	PhaseExpired   Phase = "too-late" // it was not its turn before its latest time
)

// places holds whether a phase takes one of the places of those that are out.
var places = map[Phase]bool{PhaseGranted: true, PhaseDraining: true, PhaseOut: true, PhaseReturned: true, PhaseFailed: true}

// Open tells whether there is anything left to be done.
func (p Phase) Open() bool { return p != PhaseCompleted && p != PhaseAbandoned && p != PhaseExpired }

// Order is the work that is asked for on one machine.
type Order struct {
	Node          string `json:"node"`
	Reason        string `json:"reason"`
	DurationMS    int64  `json:"for_ms"`
	Priority      int    `json:"priority"`            // higher goes first
	LatestStartMS int64  `json:"latest_ms,omitempty"` // Unix time after which it is not to begin; 0 is never
	Phase         Phase  `json:"state"`
	Ticket        uint64 `json:"ticket"`             // in the order of asking
	GrantToken    uint64 `json:"grant,omitempty"`    // the token under which it was granted; each is used once
	RequestedMS   int64  `json:"asked_ms,omitempty"` // Unix time
	PhaseSinceMS  int64  `json:"since_ms"`           // Unix time of its phase
	PhaseReason   string `json:"why,omitempty"`      // it failed
}

// MachineState of a machine.
type MachineState string

// What counts as in is warm.
const (
	MachineInService   MachineState = "in"
	MachineWarmingUp   MachineState = "cold"
	MachineUnreachable MachineState = "away"
)

// Machine is what is known of one.
type Machine struct {
	Name             string       `json:"name"`
	Zone             string       `json:"zone"`
	Cores            float64      `json:"cores"`
	Speed            float64      `json:"speed"` // of a core, against others'
	State            MachineState `json:"state"`
	Utilization      float64      `json:"busy"`             // share of its capacity in use
	UtilizationAgeMS int64        `json:"age_ms"`           // of that; below 0 it is not known
	Voter            bool         `json:"voter"`            // of the store
	ReplicaGroups    []string     `json:"copies,omitempty"` // groups of which it holds a copy
}

// Capacity in cores of speed 1.
func (m Machine) Capacity() float64 { return m.Cores * m.Speed }

// DisruptionBudget are what operators set, in the store.
type DisruptionBudget struct {
	MaxOut               int     `json:"most"`        // machines out at once
	MaxOutPerZone        int     `json:"most_zone"`   // in one zone
	MaxCapacityShare     float64 `json:"share"`       // of the whole capacity out at once
	MaxZoneCapacityShare float64 `json:"share_zone"`  // of a zone's
	SpareCapacityShare   float64 `json:"spare"`       // of what stays in, not to be in use
	MaxUtilizationAgeMS  int64   `json:"gauge_ms"`    // a gauge that is older counts as busy
	ConfirmTimeoutMS     int64   `json:"confirm_ms"`  // for which a grant waits to be confirmed
	OverrunAllowanceMS   int64   `json:"over_ms"`     // by which a machine may overstay
	WarmUpTimeoutMS      int64   `json:"warm_ms"`     // for which one that is back may take to be warm
	AbandonAfterMS       int64   `json:"give_up_ms"`  // after which one that failed loses its place; 0 is never
	MaxFailures          int     `json:"failures"`    // after so many the order pauses
	SpareVoters          int     `json:"voter_spare"` // voters beyond a quorum that stay in
	OvertakingPeriodMS   int64   `json:"patience_ms"` // after which nobody overtakes the first in line any more
}

// DefaultDisruptionBudget are in force until an operator sets others.
func DefaultDisruptionBudget() DisruptionBudget {
	return DisruptionBudget{MaxOut: 1, MaxOutPerZone: 1, MaxCapacityShare: 0.2, MaxZoneCapacityShare: 0.5, SpareCapacityShare: 0.2, MaxUtilizationAgeMS: 10_000, ConfirmTimeoutMS: 15_000, OverrunAllowanceMS: 60_000,
		WarmUpTimeoutMS: 120_000, MaxFailures: 2, SpareVoters: 1, OvertakingPeriodMS: 600_000}
}

// ErrInvalidBudget names a limit out of its bounds.
var ErrInvalidBudget = errors.New("bad limits")

// Validate finds what would stop or endanger everything.
func (l DisruptionBudget) Validate() error {
	for name, ok := range map[string]bool{
		"most: want 1 or more": l.MaxOut >= 1, "most_zone: want 1 or more": l.MaxOutPerZone >= 1,
		"share: want above 0 to 1": l.MaxCapacityShare > 0 && l.MaxCapacityShare <= 1, "share_zone: want above 0 to 1": l.MaxZoneCapacityShare > 0 && l.MaxZoneCapacityShare <= 1,
		"spare: want 0 to below 1": l.SpareCapacityShare >= 0 && l.SpareCapacityShare < 1, "failures: want 1 or more": l.MaxFailures >= 1,
		"times: want above 0": l.MaxUtilizationAgeMS > 0 && l.ConfirmTimeoutMS > 0 && l.OverrunAllowanceMS > 0 && l.WarmUpTimeoutMS > 0 && l.OvertakingPeriodMS > 0,
		"give_up_ms: below 0": l.AbandonAfterMS >= 0, "voter_spare: below 0": l.SpareVoters >= 0,
	} {
		if !ok {
			return fmt.Errorf("%w: %s", ErrInvalidBudget, name)
		}
	}
	return nil
}

var nodeForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Bounds of a request.
const (
	MaxDuration    = 24 * time.Hour
	MaxReasonBytes = 200
)

// ErrInvalidOrder refuses a request for work.
var ErrInvalidOrder = errors.New("bad request for work")

// Validate finds what no order takes.
func (j Order) Validate() error {
	switch {
	case !nodeForm.MatchString(j.Node):
		return fmt.Errorf("%w: node %.40q: want 1 to 64 letters, digits, dots, dashes or underscores", ErrInvalidOrder, j.Node)
	case j.DurationMS < 1000 || j.DurationMS > MaxDuration.Milliseconds():
		return fmt.Errorf("%w: for_ms: want 1000 to %d", ErrInvalidOrder, MaxDuration.Milliseconds())
	case len(j.Reason) > MaxReasonBytes:
		return fmt.Errorf("%w: reason: want at most %d bytes", ErrInvalidOrder, MaxReasonBytes)
	case j.LatestStartMS < 0:
		return fmt.Errorf("%w: latest_ms: below 0", ErrInvalidOrder)
	}
	return nil
}

// Pause is whether the order stands still.
type Pause struct {
	Paused               bool     `json:"paused"`
	Reason               string   `json:"why,omitempty"`
	AcknowledgedFailures []string `json:"seen,omitempty"` // failures that an operator has seen: they don't count again
}

// Observation is all that is known.
type Observation struct {
	NowMS    int64 // Unix time, as the jobs' times
	Machines []Machine
	Orders   []Order
	Budget   DisruptionBudget
	Pause    Pause
}

// Transition moves one job to its next phase.
type Transition struct {
	Node   string
	To     Phase
	Reason string
}

// Decision is what is to be done now.
type Decision struct {
	Transitions []Transition
	PauseReason string            // why the order is to pause, if it is
	WaitReasons map[string]string // why each that asks waits
	HeadOfQueue string            // who is first in line
}

// Decide says what is to be done now.
func Decide(v Observation) Decision {
	d := Decision{WaitReasons: map[string]string{}}
	jobs := slices.Clone(v.Orders)
	machines := map[string]Machine{}
	for _, m := range v.Machines {
		machines[m.Name] = m
	}
	failed := 0
	for i, j := range jobs {
		if to, why := overdue(j, machines[j.Node], v); to != "" {
			d.Transitions = append(d.Transitions, Transition{j.Node, to, why})
			jobs[i].Phase, jobs[i].PhaseSinceMS = to, v.NowMS
		}
		if p := jobs[i].Phase; (p == PhaseFailed || p == PhaseAbandoned) && !slices.Contains(v.Pause.AcknowledgedFailures, j.Node) {
			failed++
		}
	}
	stop := ""
	switch {
	case v.Pause.Paused:
		stop = "the order is paused: " + v.Pause.Reason
	case failed >= v.Budget.MaxFailures:
		d.PauseReason = fmt.Sprintf("%d machines failed to return", failed)
		stop = "the order is paused: " + d.PauseReason
	}
	f := newFleet(v, jobs, machines)
	line := Queue(jobs)
	for i, j := range line {
		why := stop
		if why == "" {
			why = f.may(j)
		}
		if why == "" {
			d.Transitions = append(d.Transitions, Transition{Node: j.Node, To: PhaseGranted})
			f.leave(j.Node)
			continue
		}
		if d.WaitReasons[j.Node] = why; d.HeadOfQueue == "" {
			d.HeadOfQueue = j.Node
		}
		// Nobody waits for ever: one that could go if others did not overtake it.
		if stop == "" && i == 0 && f.in(j.Node) && v.NowMS-j.RequestedMS > v.Budget.OvertakingPeriodMS {
			stop = j.Node + " has waited for long and goes first"
		}
	}
	return d
}

// Queue is who asks, the next one first.
func Queue(jobs []Order) (line []Order) {
	for _, j := range jobs {
		if j.Phase == PhaseRequested {
			line = append(line, j)
		}
	}
	slices.SortFunc(line, func(a, b Order) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Ticket, b.Ticket), cmp.Compare(a.Node, b.Node))
	})
	return line
}

// overdue is the phase that a job gets because of its time, or of what its machine does.
func overdue(j Order, m Machine, v Observation) (to Phase, why string) {
	l, in := v.Budget, v.NowMS-j.PhaseSinceMS
	switch {
	case j.Phase == PhaseRequested && j.LatestStartMS > 0 && v.NowMS > j.LatestStartMS:
		return PhaseExpired, "its latest time is over"
	case j.Phase == PhaseGranted && in > l.ConfirmTimeoutMS:
		return PhaseRequested, "not confirmed in time"
	case j.Phase == PhaseDraining && in > l.OverrunAllowanceMS:
		return PhaseFailed, "did not say that it is out"
	case j.Phase == PhaseOut && in > j.DurationMS+l.OverrunAllowanceMS:
		return PhaseFailed, "did not come back in time"
	case j.Phase == PhaseReturned && m.State == MachineInService:
		return PhaseCompleted, ""
	case j.Phase == PhaseReturned && in > l.WarmUpTimeoutMS:
		return PhaseFailed, "is back, and did not get warm in time"
	case j.Phase == PhaseFailed && l.AbandonAfterMS > 0 && in > l.AbandonAfterMS:
		return PhaseAbandoned, j.PhaseReason
	}
	return "", ""
}

// fleet is who is out, and what that leaves, kept as sums: a question costs the same with
// any number of machines.
type fleet struct {
	v        Observation
	machines map[string]Machine
	out      map[string]bool // by place, or because the machine is away or cold
	given    map[string]bool // given up: its place is free, its capacity is not back
	total    float64
	zone     map[string]float64
	voters   int

	places     int
	zonePlaces map[string]int
	gone       float64
	zoneGone   map[string]float64
	stays      float64
	used       float64
	votersIn   int
	copies     map[string]string // by group: one that is out and holds a copy
}

func newFleet(v Observation, jobs []Order, machines map[string]Machine) *fleet {
	f := &fleet{v: v, machines: machines, out: map[string]bool{}, given: map[string]bool{}, zone: map[string]float64{},
		zonePlaces: map[string]int{}, zoneGone: map[string]float64{}, copies: map[string]string{}}
	for _, j := range jobs {
		f.given[j.Node] = j.Phase == PhaseAbandoned
	}
	for _, m := range machines {
		f.total += m.Capacity()
		f.zone[m.Zone] += m.Capacity()
		f.stays += m.Capacity()
		f.used += m.Capacity() * f.busy(m)
		if m.Voter {
			f.voters++
			f.votersIn++
		}
	}
	for _, m := range machines {
		if m.State != MachineInService {
			f.leave(m.Name)
		}
	}
	for _, j := range jobs {
		if places[j.Phase] {
			f.leave(j.Node)
		}
	}
	return f
}

// leave notes that one is out.
func (f *fleet) leave(node string) {
	if f.out[node] {
		return
	}
	f.out[node] = true
	m, known := f.machines[node]
	if !f.given[node] {
		f.places++
		if known {
			f.zonePlaces[m.Zone]++
		}
	}
	if !known {
		return // its place is all that is known of it
	}
	f.gone += m.Capacity()
	f.zoneGone[m.Zone] += m.Capacity()
	f.stays -= m.Capacity()
	f.used -= m.Capacity() * f.busy(m)
	if m.Voter {
		f.votersIn--
	}
	for _, c := range m.ReplicaGroups {
		f.copies[c] = node
	}
}

func (f *fleet) in(node string) bool { _, ok := f.machines[node]; return ok && !f.out[node] }

// may says why a machine may not go now, or "".
func (f *fleet) may(j Order) string {
	m, ok := f.machines[j.Node]
	switch {
	case !ok:
		return "nothing is known of this machine"
	case m.State != MachineInService:
		return "it is " + string(m.State) + " already"
	}
	for _, c := range m.ReplicaGroups {
		if by, ok := f.copies[c]; ok {
			return fmt.Sprintf("%s, which is out, holds copies of the same things (%s)", by, c)
		}
	}
	l, size := f.v.Budget, m.Capacity()
	gone, zoneGone, stays := f.gone+size, f.zoneGone[m.Zone]+size, f.stays-size
	quorum, voters := f.voters/2+1, f.votersIn-1
	// One may always go by its share, or small fleets would never get their work done.
	switch {
	case f.places >= l.MaxOut:
		return fmt.Sprintf("%d are out, at most %d", f.places, l.MaxOut)
	case f.zonePlaces[m.Zone] >= l.MaxOutPerZone:
		return fmt.Sprintf("%d are out in zone %q, at most %d", f.zonePlaces[m.Zone], m.Zone, l.MaxOutPerZone)
	case gone > l.MaxCapacityShare*f.total && f.places > 0 || stays <= 0:
		return fmt.Sprintf("%.1f of %.1f cores would be out, at most %.0f%%", gone, f.total, 100*l.MaxCapacityShare)
	case zoneGone > l.MaxZoneCapacityShare*f.zone[m.Zone] && f.zonePlaces[m.Zone] > 0:
		return fmt.Sprintf("%.1f of %.1f cores of zone %q would be out, at most %.0f%%", zoneGone, f.zone[m.Zone], m.Zone, 100*l.MaxZoneCapacityShare)
	case f.used > (1-l.SpareCapacityShare)*stays:
		return fmt.Sprintf("%.1f cores are in use, and %.1f would stay, of which %.0f%% are kept spare", f.used, stays, 100*l.SpareCapacityShare)
	case m.Voter && voters < quorum+l.SpareVoters:
		return fmt.Sprintf("%d of the store's %d voters would stay, want %d", voters, f.voters, quorum+l.SpareVoters)
	}
	return ""
}

// busy is a machine's share in use; what is not known counts as all.
func (f *fleet) busy(m Machine) float64 {
	if m.UtilizationAgeMS < 0 || m.UtilizationAgeMS > f.v.Budget.MaxUtilizationAgeMS {
		return 1
	}
	return min(max(m.Utilization, 0), 1)
}
