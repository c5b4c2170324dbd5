package membership

// StepKind is what a step does.
type StepKind int

// The kinds of steps, with the change of role that each makes.
const (
	StepNone     StepKind = iota
	StepPromote           // learner to voter
	StepDemote            // voter to learner
	StepRemove            // learner to no member
	StepTransfer          // of the leadership, to the member
)

func (k StepKind) String() string {
	return [...]string{"none", "promote", "demote", "remove", "transfer leadership to"}[k]
}

// Step is one change, or none.
type Step struct {
	Kind   StepKind
	ID     string // of the member
	Reason string // for operators
}

// rules in the order in which they are asked. The first one with a step decides.
var rules = [...]func(Policy, View, census) Step{
	Policy.demoteLost,
	Policy.promoteMissing,
	Policy.reduceVoters,
	Policy.promotePreferred,
	Policy.balanceZones,
	Policy.removeLearner,
}

// Next is the step to take now. There is none while a change is pending or settles, or without a
// healthy majority.
func (p Policy) Next(v View) Step {
	c := p.count(v)
	if v.ChangePending || v.SinceChange < p.SettleTime || c.healthy < Quorum(c.voters) {
		return Step{}
	}
	for _, rule := range rules {
		if step := rule(p, v, c); step.Kind != StepNone {
			return step
		}
	}
	return Step{}
}

// demoteLost takes the vote of a lost disk at once: it can't come back, and counts against the
// majority.
func (p Policy) demoteLost(v View, c census) Step {
	for _, m := range v.Members {
		if m.Role == Voter && m.DiskLost && p.keepsQuorumWithout(c, m) {
			return Step{Kind: StepDemote, ID: m.ID, Reason: outgoingReason(m)}
		}
	}
	return Step{}
}

// promoteMissing gives a learner the vote that is missing. It comes before an outgoing voter loses
// its own, so that no copy is given up before there is another. One more healthy voter never costs
// the majority, as that grows by one at most.
func (p Policy) promoteMissing(v View, c census) Step {
	if c.staying >= p.Voters {
		return Step{}
	}
	m, ok := p.candidate(v, c)
	if !ok {
		return Step{}
	}
	return Step{Kind: StepPromote, ID: m.ID, Reason: "fewer voters than wanted"}
}

// reduceVoters takes the votes of outgoing voters, and then those beyond the wanted number.
func (p Policy) reduceVoters(v View, c census) Step {
	if step, decided := p.demoteOutgoing(v, c); decided {
		return step
	}
	return p.demoteSurplus(v, c)
}

// demoteOutgoing takes the votes of outgoing voters once there are enough others. A leaving voter
// loses its vote also if no learner could have it; one that is merely down keeps its vote until then.
// An outgoing leader is decided on before anything else: it transfers the leadership, or nothing is
// done while no voter could take it.
func (p Policy) demoteOutgoing(v View, c census) (step Step, decided bool) {
	_, standby := p.candidate(v, c)
	for _, m := range v.Members {
		if m.Role != Voter || !p.outgoing(m) {
			continue
		}
		if c.staying < p.Voters && (standby || !m.Leaving) {
			continue
		}
		if m.ID == v.Leader {
			return p.transfer(v, "the leader leaves"), true
		}
		if p.keepsQuorumWithout(c, m) {
			return Step{Kind: StepDemote, ID: m.ID, Reason: outgoingReason(m)}, true
		}
	}
	return Step{}, false
}

// demoteSurplus takes one of the votes beyond the wanted number.
func (p Policy) demoteSurplus(v View, c census) Step {
	if c.staying <= p.Voters {
		return Step{}
	}
	if m, ok := p.spare(v, c); ok && p.keepsQuorumWithout(c, m) {
		return Step{Kind: StepDemote, ID: m.ID, Reason: "more voters than wanted"}
	}
	return Step{}
}

// promotePreferred gives a vote to a learner that operators prefer, if another voter can give up
// its own: reduceVoters takes that next.
func (p Policy) promotePreferred(v View, c census) Step {
	m, ok := p.candidate(v, c)
	if !ok || !m.VotePreferred {
		return Step{}
	}
	spare, ok := p.spare(v, c)
	if !ok || spare.VotePreferred || !p.keepsQuorumWithout(c, spare) {
		return Step{}
	}
	return Step{Kind: StepPromote, ID: m.ID, Reason: "an operator wants it to have a vote"}
}

// balanceZones promotes in the zone with the fewest voters, if another one has two or more in
// addition: reduceVoters takes a vote there next.
func (p Policy) balanceZones(v View, c census) Step {
	if len(c.zones) < 2 {
		return Step{}
	}
	fewest, most := c.zoneRange()
	m, ok := p.candidate(v, c)
	if !ok || most-fewest < 2 || c.zones[m.Zone] != fewest {
		return Step{}
	}
	spare, ok := p.spare(v, c)
	if !ok || spare.VotePreferred || c.zones[spare.Zone]-c.zones[m.Zone] < 2 {
		return Step{} // reduceVoters would take the vote elsewhere
	}
	return Step{Kind: StepPromote, ID: m.ID, Reason: "its zone has two voters less than another"}
}

// removeLearner removes learners that leave, whose disk is lost, or that were down for too long.
func (p Policy) removeLearner(v View, _ census) Step {
	for _, m := range v.Members {
		if m.Role == Learner && p.forgotten(m) {
			return Step{Kind: StepRemove, ID: m.ID, Reason: outgoingReason(m)}
		}
	}
	return Step{}
}

// transfer moves the leadership to a healthy voter that stays.
func (p Policy) transfer(v View, reason string) Step {
	for _, m := range v.Members {
		if m.Role == Voter && m.ID != v.Leader && p.healthy(m) && !p.outgoing(m) {
			return Step{Kind: StepTransfer, ID: m.ID, Reason: reason}
		}
	}
	return Step{}
}
