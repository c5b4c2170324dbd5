// Package membership decides, for the leader of the replicated store, the next change
// of the cluster's members: observations in, one step out. It does no I/O and reads
// no clock.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Role is what a member is in the committed configuration.
type Role int

const (
	Learner Role = iota // gets the log, has no vote
	Voter
)

func (r Role) String() string { return [...]string{"learner", "voter"}[r] }

// Member is one node as the leader sees it.
type Member struct {
	ID            string
	Zone          string
	Role          Role
	Up            bool
	DownFor       time.Duration // for how long, if it isn't up
	Lag           uint64        // log entries that it misses
	Leaving       bool          // an operator wants it out
	DiskLost      bool          // its disk is gone: another one bears its name
	VotePreferred bool          // an operator wants it to have a vote
}

// View is all that a decision rests on.
type View struct {
	Leader        string
	Members       []Member
	ChangePending bool          // the change before is not committed
	SinceChange   time.Duration // since the change before, or since this leader was elected
}

// Policy is what an operator may set.
type Policy struct {
	Voters       int           // wanted; odd
	ReplaceAfter time.Duration // a voter that is down for so long gives its vote to a learner
	ForgetAfter  time.Duration // a learner that is down for so long is removed; 0 is never
	SettleTime   time.Duration // between two changes
	MaxLag       uint64        // entries that a learner may miss and still be promoted
}

// StepKind is what to do.
type StepKind int

const (
	StepNone StepKind = iota
	StepPromote
	StepDemote
	StepRemove
	StepTransfer // the leadership, to the member
)

func (k StepKind) String() string {
	return [...]string{"none", "promote", "demote", "remove", "transfer leadership to"}[k]
}

// Step is one change, or none, and why.
type Step struct {
	Kind   StepKind
	ID     string
	Reason string
}

// Quorum of so many voters.
func Quorum(voters int) int { return voters/2 + 1 }

// sound is a member that can be counted on: up, not leaving, and with the log.
func (p Policy) sound(m Member) bool { return m.Up && !m.DiskLost && m.Lag <= p.MaxLag }

// census counts the voters of a view.
type census struct {
	voters, sound int // of them
	staying       int // voters that are neither leaving nor given up
	zones         map[string]int
}

func (p Policy) count(v View) census {
	c := census{zones: map[string]int{}}
	for _, m := range v.Members {
		if p.sound(m) && !m.Leaving {
			c.zones[m.Zone] += 0 // a zone that could have a voter
		}
		if m.Role != Voter {
			continue
		}
		c.voters++
		if p.sound(m) {
			c.sound++
		}
		if !p.outgoing(m) {
			c.staying++
			c.zones[m.Zone]++
		}
	}
	return c
}

// outgoing is a voter whose vote is to go to another.
func (p Policy) outgoing(m Member) bool {
	return m.Leaving || m.DiskLost || !m.Up && m.DownFor >= p.ReplaceAfter
}

// Next is the one step to take now. Whatever it is, a majority of the voters after it
// is up and has the log, if it was so before; and it is never taken back by the next,
// unless something changed meanwhile.
func (p Policy) Next(v View) Step {
	c := p.count(v)
	if v.ChangePending || v.SinceChange < p.SettleTime || c.sound < Quorum(c.voters) {
		return Step{}
	}
	if s := p.bury(v, c); s.Kind != StepNone {
		return s
	}
	if s := p.grow(v, c); s.Kind != StepNone {
		return s
	}
	if s := p.shrink(v, c); s.Kind != StepNone {
		return s
	}
	if s := p.prefer(v, c); s.Kind != StepNone {
		return s
	}
	if s := p.balance(v, c); s.Kind != StepNone {
		return s
	}
	return p.forget(v)
}

func whyOut(m Member) string {
	switch {
	case m.DiskLost:
		return "its disk is gone"
	case m.Leaving:
		return "it leaves"
	}
	return "it was down for too long"
}

// bury takes the vote of a disk that is gone: it only counts against the majority, and
// as it can't come back there is nothing to wait for.
func (p Policy) bury(v View, c census) Step {
	for _, m := range v.Members {
		if m.Role == Voter && m.DiskLost && p.without(c, m) {
			return Step{StepDemote, m.ID, whyOut(m)}
		}
	}
	return Step{}
}

// grow gives a learner the vote that is missing. It comes before its predecessor
// loses its own, so that no copy is given up before there is another. A sound voter
// more never costs the majority: that of one more is at most one more.
func (p Policy) grow(v View, c census) Step {
	if c.staying >= p.Voters {
		return Step{}
	}
	m, ok := p.candidate(v, c)
	if !ok {
		return Step{}
	}
	return Step{StepPromote, m.ID, "fewer voters than wanted"}
}

// candidate is the learner that a vote should go to: in the zone with the fewest.
func (p Policy) candidate(v View, c census) (best Member, found bool) {
	for _, m := range v.Members {
		if m.Role != Learner || m.Leaving || !p.sound(m) {
			continue
		}
		if !found || cmp.Or(unwanted(m)-unwanted(best), cmp.Compare(c.zones[m.Zone], c.zones[best.Zone]), cmp.Compare(m.Lag, best.Lag), cmp.Compare(m.ID, best.ID)) < 0 {
			best, found = m, true
		}
	}
	return best, found
}

// shrink takes the vote of those that leave or are given up, once there are enough
// others or nobody to wait for, and of what is over the wanted number.
func (p Policy) shrink(v View, c census) Step {
	_, standby := p.candidate(v, c)
	for _, m := range v.Members {
		if m.Role != Voter || !p.outgoing(m) {
			continue
		}
		// A voter that is merely down keeps its vote until another can have it.
		if c.staying < p.Voters && (standby || !m.Leaving) {
			continue
		}
		if m.ID == v.Leader {
			return p.transfer(v, "the leader leaves")
		}
		if p.without(c, m) {
			return Step{StepDemote, m.ID, whyOut(m)}
		}
	}
	if c.staying <= p.Voters {
		return Step{}
	}
	if m, ok := p.spare(v, c); ok && p.without(c, m) {
		return Step{StepDemote, m.ID, "more voters than wanted"}
	}
	return Step{}
}

// without tells whether the voters but for one still have a sound majority.
func (p Policy) without(c census, m Member) bool {
	sound := c.sound
	if p.sound(m) {
		sound--
	}
	return c.voters > 1 && sound >= Quorum(c.voters-1)
}

// prefer gives a vote to a learner that operators want to have one, if a voter that they
// don't care for can give it up.
func (p Policy) prefer(v View, c census) Step {
	m, ok := p.candidate(v, c)
	if s, found := p.spare(v, c); !ok || !m.VotePreferred || !found || s.VotePreferred || !p.without(c, s) {
		return Step{}
	}
	return Step{StepPromote, m.ID, "an operator wants it to have a vote"}
}

func unwanted(m Member) int {
	if m.VotePreferred {
		return 0
	}
	return 1
}

// spare is the voter that is missed the least: those first that no operator wants, then
// unsound ones, then of the zone
// with the most, never the leader.
func (p Policy) spare(v View, c census) (best Member, found bool) {
	unsound := func(m Member) int {
		if p.sound(m) {
			return 0
		}
		return 1
	}
	for _, m := range v.Members {
		if m.Role != Voter || m.ID == v.Leader || p.outgoing(m) {
			continue
		}
		if !found || cmp.Or(unwanted(m)-unwanted(best), cmp.Compare(unsound(m), unsound(best)), cmp.Compare(c.zones[m.Zone], c.zones[best.Zone]), cmp.Compare(m.ID, best.ID)) > 0 {
			best, found = m, true
		}
	}
	return best, found
}

func (p Policy) transfer(v View, why string) Step {
	for _, m := range v.Members {
		if m.Role == Voter && m.ID != v.Leader && p.sound(m) && !p.outgoing(m) {
			return Step{StepTransfer, m.ID, why}
		}
	}
	return Step{}
}

// balance moves a vote from the zone with the most to the one with the fewest, if
// they differ by more than one: it promotes there, and shrink then takes one here.
func (p Policy) balance(v View, c census) Step {
	if len(c.zones) < 2 {
		return Step{}
	}
	var counts []int
	for _, n := range c.zones {
		counts = append(counts, n)
	}
	m, ok := p.candidate(v, c)
	if !ok || slices.Max(counts)-slices.Min(counts) < 2 || c.zones[m.Zone] != slices.Min(counts) {
		return Step{}
	}
	if s, ok := p.spare(v, c); !ok || s.VotePreferred || c.zones[s.Zone]-c.zones[m.Zone] < 2 {
		return Step{} // who would lose a vote for it is elsewhere
	}
	return Step{StepPromote, m.ID, "its zone has two voters less than another"}
}

// forget removes learners that leave, or that nobody has seen for long.
func (p Policy) forget(v View) Step {
	for _, m := range v.Members {
		if m.Role == Learner && (m.Leaving || m.DiskLost || !m.Up && p.ForgetAfter > 0 && m.DownFor >= p.ForgetAfter) {
			return Step{StepRemove, m.ID, whyOut(m)}
		}
	}
	return Step{}
}
