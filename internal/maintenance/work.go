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
	Asked    Phase = "asked"
	Granted  Phase = "granted"  // it may go, and has not confirmed yet that it does
	Draining Phase = "draining" // it has confirmed, and takes nothing new
	Out      Phase = "out"
	Back     Phase = "back"     // it runs again, and is not warm yet
	Warm     Phase = "warm"     // done
	Failed   Phase = "failed"   // it overstays, died, or its work failed: it keeps its place
	GivenUp  Phase = "given-up" // it keeps its place no more
	Late     Phase = "too-late" // it was not its turn before its latest time
)

// places holds whether a phase takes one of the places of those that are out.
var places = map[Phase]bool{Granted: true, Draining: true, Out: true, Back: true, Failed: true}

// Open tells whether there is anything left to be done.
func (p Phase) Open() bool { return p != Warm && p != GivenUp && p != Late }

// Job is the work that is asked for on one machine.
type Job struct {
	Node     string `json:"node"`
	Reason   string `json:"reason"`
	ForMS    int64  `json:"for_ms"`
	Priority int    `json:"priority"`            // higher goes first
	LatestMS int64  `json:"latest_ms,omitempty"` // Unix time after which it is not to begin; 0 is never
	Phase    Phase  `json:"state"`
	Ticket   uint64 `json:"ticket"`             // in the order of asking
	Grant    uint64 `json:"grant,omitempty"`    // the token under which it was granted; each is used once
	AskedMS  int64  `json:"asked_ms,omitempty"` // Unix time
	SinceMS  int64  `json:"since_ms"`           // Unix time of its phase
	Why      string `json:"why,omitempty"`      // it failed
}

// State of a machine.
type State string

// What counts as in is warm.
const (
	In   State = "in"
	Cold State = "cold"
	Away State = "away"
)

// Machine is what is known of one.
type Machine struct {
	Name   string   `json:"name"`
	Zone   string   `json:"zone"`
	Cores  float64  `json:"cores"`
	Speed  float64  `json:"speed"` // of a core, against others'
	State  State    `json:"state"`
	Busy   float64  `json:"busy"`             // share of its capacity in use
	AgeMS  int64    `json:"age_ms"`           // of that; below 0 it is not known
	Voter  bool     `json:"voter"`            // of the store
	Copies []string `json:"copies,omitempty"` // groups of which it holds a copy
}

// Capacity in cores of speed 1.
func (m Machine) Capacity() float64 { return m.Cores * m.Speed }

// Limits are what operators set, in the store.
type Limits struct {
	Most       int     `json:"most"`        // machines out at once
	MostZone   int     `json:"most_zone"`   // in one zone
	Share      float64 `json:"share"`       // of the whole capacity out at once
	ShareZone  float64 `json:"share_zone"`  // of a zone's
	Spare      float64 `json:"spare"`       // of what stays in, not to be in use
	GaugeMS    int64   `json:"gauge_ms"`    // a gauge that is older counts as busy
	ConfirmMS  int64   `json:"confirm_ms"`  // for which a grant waits to be confirmed
	OverMS     int64   `json:"over_ms"`     // by which a machine may overstay
	WarmMS     int64   `json:"warm_ms"`     // for which one that is back may take to be warm
	GiveUpMS   int64   `json:"give_up_ms"`  // after which one that failed loses its place; 0 is never
	Failures   int     `json:"failures"`    // after so many the order pauses
	VoterSpare int     `json:"voter_spare"` // voters beyond a quorum that stay in
	PatienceMS int64   `json:"patience_ms"` // after which nobody overtakes the first in line any more
}

// DefaultLimits are in force until an operator sets others.
func DefaultLimits() Limits {
	return Limits{Most: 1, MostZone: 1, Share: 0.2, ShareZone: 0.5, Spare: 0.2, GaugeMS: 10_000, ConfirmMS: 15_000, OverMS: 60_000,
		WarmMS: 120_000, Failures: 2, VoterSpare: 1, PatienceMS: 600_000}
}

// ErrLimits names a limit out of its bounds.
var ErrLimits = errors.New("bad limits")

// Check finds what would stop or endanger everything.
func (l Limits) Check() error {
	for name, ok := range map[string]bool{
		"most: want 1 or more": l.Most >= 1, "most_zone: want 1 or more": l.MostZone >= 1,
		"share: want above 0 to 1": l.Share > 0 && l.Share <= 1, "share_zone: want above 0 to 1": l.ShareZone > 0 && l.ShareZone <= 1,
		"spare: want 0 to below 1": l.Spare >= 0 && l.Spare < 1, "failures: want 1 or more": l.Failures >= 1,
		"times: want above 0": l.GaugeMS > 0 && l.ConfirmMS > 0 && l.OverMS > 0 && l.WarmMS > 0 && l.PatienceMS > 0,
		"give_up_ms: below 0": l.GiveUpMS >= 0, "voter_spare: below 0": l.VoterSpare >= 0,
	} {
		if !ok {
			return fmt.Errorf("%w: %s", ErrLimits, name)
		}
	}
	return nil
}

var nodeForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Bounds of a request.
const (
	ForMost    = 24 * time.Hour
	ReasonMost = 200
)

// ErrAsk refuses a request for work.
var ErrAsk = errors.New("bad request for work")

// Check finds what no order takes.
func (j Job) Check() error {
	switch {
	case !nodeForm.MatchString(j.Node):
		return fmt.Errorf("%w: node %.40q: want 1 to 64 letters, digits, dots, dashes or underscores", ErrAsk, j.Node)
	case j.ForMS < 1000 || j.ForMS > ForMost.Milliseconds():
		return fmt.Errorf("%w: for_ms: want 1000 to %d", ErrAsk, ForMost.Milliseconds())
	case len(j.Reason) > ReasonMost:
		return fmt.Errorf("%w: reason: want at most %d bytes", ErrAsk, ReasonMost)
	case j.LatestMS < 0:
		return fmt.Errorf("%w: latest_ms: below 0", ErrAsk)
	}
	return nil
}

// Pause is whether the order stands still.
type Pause struct {
	Paused bool     `json:"paused"`
	Why    string   `json:"why,omitempty"`
	Seen   []string `json:"seen,omitempty"` // failures that an operator has seen: they don't count again
}

// View is all that is known.
type View struct {
	NowMS    int64 // Unix time, as the jobs' times
	Machines []Machine
	Jobs     []Job
	Limits   Limits
	Pause    Pause
}

// Step moves one job to its next phase.
type Step struct {
	Node string
	To   Phase
	Why  string
}

// Decision is what is to be done now.
type Decision struct {
	Steps []Step
	Pause string            // why the order is to pause, if it is
	Waits map[string]string // why each that asks waits
	First string            // who is first in line
}

// Decide says what is to be done now.
func Decide(v View) Decision {
	d := Decision{Waits: map[string]string{}}
	jobs := slices.Clone(v.Jobs)
	machines := map[string]Machine{}
	for _, m := range v.Machines {
		machines[m.Name] = m
	}
	failed := 0
	for i, j := range jobs {
		if to, why := overdue(j, machines[j.Node], v); to != "" {
			d.Steps = append(d.Steps, Step{j.Node, to, why})
			jobs[i].Phase, jobs[i].SinceMS = to, v.NowMS
		}
		if p := jobs[i].Phase; (p == Failed || p == GivenUp) && !slices.Contains(v.Pause.Seen, j.Node) {
			failed++
		}
	}
	stop := ""
	switch {
	case v.Pause.Paused:
		stop = "the order is paused: " + v.Pause.Why
	case failed >= v.Limits.Failures:
		d.Pause = fmt.Sprintf("%d machines failed to return", failed)
		stop = "the order is paused: " + d.Pause
	}
	f := newFleet(v, jobs, machines)
	line := Line(jobs)
	for i, j := range line {
		why := stop
		if why == "" {
			why = f.may(j)
		}
		if why == "" {
			d.Steps = append(d.Steps, Step{Node: j.Node, To: Granted})
			f.leave(j.Node)
			continue
		}
		if d.Waits[j.Node] = why; d.First == "" {
			d.First = j.Node
		}
		// Nobody waits for ever: one that could go if others did not overtake it.
		if stop == "" && i == 0 && f.in(j.Node) && v.NowMS-j.AskedMS > v.Limits.PatienceMS {
			stop = j.Node + " has waited for long and goes first"
		}
	}
	return d
}

// Line is who asks, the next one first.
func Line(jobs []Job) (line []Job) {
	for _, j := range jobs {
		if j.Phase == Asked {
			line = append(line, j)
		}
	}
	slices.SortFunc(line, func(a, b Job) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Ticket, b.Ticket), cmp.Compare(a.Node, b.Node))
	})
	return line
}

// overdue is the phase that a job gets because of its time, or of what its machine does.
func overdue(j Job, m Machine, v View) (to Phase, why string) {
	l, in := v.Limits, v.NowMS-j.SinceMS
	switch {
	case j.Phase == Asked && j.LatestMS > 0 && v.NowMS > j.LatestMS:
		return Late, "its latest time is over"
	case j.Phase == Granted && in > l.ConfirmMS:
		return Asked, "not confirmed in time"
	case j.Phase == Draining && in > l.OverMS:
		return Failed, "did not say that it is out"
	case j.Phase == Out && in > j.ForMS+l.OverMS:
		return Failed, "did not come back in time"
	case j.Phase == Back && m.State == In:
		return Warm, ""
	case j.Phase == Back && in > l.WarmMS:
		return Failed, "is back, and did not get warm in time"
	case j.Phase == Failed && l.GiveUpMS > 0 && in > l.GiveUpMS:
		return GivenUp, j.Why
	}
	return "", ""
}

// fleet is who is out, and what that leaves, kept as sums: a question costs the same with
// any number of machines.
type fleet struct {
	v        View
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

func newFleet(v View, jobs []Job, machines map[string]Machine) *fleet {
	f := &fleet{v: v, machines: machines, out: map[string]bool{}, given: map[string]bool{}, zone: map[string]float64{},
		zonePlaces: map[string]int{}, zoneGone: map[string]float64{}, copies: map[string]string{}}
	for _, j := range jobs {
		f.given[j.Node] = j.Phase == GivenUp
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
		if m.State != In {
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
	for _, c := range m.Copies {
		f.copies[c] = node
	}
}

func (f *fleet) in(node string) bool { _, ok := f.machines[node]; return ok && !f.out[node] }

// may says why a machine may not go now, or "".
func (f *fleet) may(j Job) string {
	m, ok := f.machines[j.Node]
	switch {
	case !ok:
		return "nothing is known of this machine"
	case m.State != In:
		return "it is " + string(m.State) + " already"
	}
	for _, c := range m.Copies {
		if by, ok := f.copies[c]; ok {
			return fmt.Sprintf("%s, which is out, holds copies of the same things (%s)", by, c)
		}
	}
	l, size := f.v.Limits, m.Capacity()
	gone, zoneGone, stays := f.gone+size, f.zoneGone[m.Zone]+size, f.stays-size
	quorum, voters := f.voters/2+1, f.votersIn-1
	// One may always go by its share, or small fleets would never get their work done.
	switch {
	case f.places >= l.Most:
		return fmt.Sprintf("%d are out, at most %d", f.places, l.Most)
	case f.zonePlaces[m.Zone] >= l.MostZone:
		return fmt.Sprintf("%d are out in zone %q, at most %d", f.zonePlaces[m.Zone], m.Zone, l.MostZone)
	case gone > l.Share*f.total && f.places > 0 || stays <= 0:
		return fmt.Sprintf("%.1f of %.1f cores would be out, at most %.0f%%", gone, f.total, 100*l.Share)
	case zoneGone > l.ShareZone*f.zone[m.Zone] && f.zonePlaces[m.Zone] > 0:
		return fmt.Sprintf("%.1f of %.1f cores of zone %q would be out, at most %.0f%%", zoneGone, f.zone[m.Zone], m.Zone, 100*l.ShareZone)
	case f.used > (1-l.Spare)*stays:
		return fmt.Sprintf("%.1f cores are in use, and %.1f would stay, of which %.0f%% are kept spare", f.used, stays, 100*l.Spare)
	case m.Voter && voters < quorum+l.VoterSpare:
		return fmt.Sprintf("%d of the store's %d voters would stay, want %d", voters, f.voters, quorum+l.VoterSpare)
	}
	return ""
}

// busy is a machine's share in use; what is not known counts as all.
func (f *fleet) busy(m Machine) float64 {
	if m.AgeMS < 0 || m.AgeMS > f.v.Limits.GaugeMS {
		return 1
	}
	return min(max(m.Busy, 0), 1)
}
