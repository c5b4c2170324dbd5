package membership

// StepKind is what a step does.
type StepKind int

// The kinds of steps, with the change of role that each makes.
const (
	StepNone               StepKind = iota
	StepPromote                     // learner to voter
	StepDemote                      // voter to learner
	StepRemove                      // learner to no member
	StepTransferLeadership          // of the leadership, to the member
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

// rules in the order in which they are checked. The first one with a step decides.
var rules = [...]func(Policy, View, voterCounts) Step{
	Policy.demoteLostDisk,
	Policy.promoteUpToTarget,
	Policy.reduceVoters,
	Policy.promotePreferred,
	Policy.balanceZones,
	Policy.removeLearner,
}

// NextStep is the step to take now. There is none while a change is pending or settles, or without a
// healthy majority.
func (p Policy) NextStep(v View) Step {
	c := p.countVoters(v)
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

// demoteLostDisk takes the vote of a lost disk at once: it can't come back, and counts against the
// majority.
func (p Policy) demoteLostDisk(v View, c voterCounts) Step {
	for _, m := range v.Members {
		if m.Role == Voter && m.DiskLost && p.keepsQuorumWithout(c, m) {
			return Step{Kind: StepDemote, ID: m.ID, Reason: departureReason(m)}
		}
	}
	return Step{}
}

// promoteUpToTarget gives a learner the vote that is missing. It comes before the demotion of a voter that
// is to lose its vote (losesVote), so that the replacement votes first. One more healthy voter never
// costs the majority, as that grows by one at most.
func (p Policy) promoteUpToTarget(v View, c voterCounts) Step {
	if c.retained >= p.TargetVoters {
		return Step{}
	}
	m, ok := p.promotionCandidate(v, c)
	if !ok {
		return Step{}
	}
	return Step{Kind: StepPromote, ID: m.ID, Reason: "fewer voters than wanted"}
}

// reduceVoters takes the votes of voters that leave, are lost or were down for too long, and then those
// beyond the wanted number.
func (p Policy) reduceVoters(v View, c voterCounts) Step {
	if step, decided := p.demoteLeavingOrDown(v, c); decided {
		return step
	}
	return p.demoteSurplus(v, c)
}

// demoteLeavingOrDown takes the vote of the first voter, in the order of View.Members, that is to lose it
// (losesVote):
//
//   - Once enough other voters stay, any such voter loses its vote.
//   - While fewer stay than wanted, a leaving voter loses its vote if there is no learner to promote, and
//     one that is down or lost keeps it.
//   - If it is the leader, it transfers the leadership first. While no voter can take that, nothing is
//     done, and no voter after the leader is looked at.
func (p Policy) demoteLeavingOrDown(v View, c voterCounts) (step Step, decided bool) {
	_, standby := p.promotionCandidate(v, c)
	for _, m := range v.Members {
		if m.Role != Voter || !p.shouldLoseVote(m) {
			continue
		}
		if c.retained < p.TargetVoters && (standby || !m.Leaving) {
			continue
		}
		if m.ID == v.Leader {
			return p.transferLeadership(v, "the leader leaves"), true
		}
		if p.keepsQuorumWithout(c, m) {
			return Step{Kind: StepDemote, ID: m.ID, Reason: departureReason(m)}, true
		}
	}
	return Step{}, false
}

// demoteSurplus takes one of the votes beyond the wanted number.
func (p Policy) demoteSurplus(v View, c voterCounts) Step {
	if c.retained <= p.TargetVoters {
		return Step{}
	}
	if m, ok := p.demotionCandidate(v, c); ok && p.keepsQuorumWithout(c, m) {
		return Step{Kind: StepDemote, ID: m.ID, Reason: "more voters than wanted"}
	}
	return Step{}
}

// promotePreferred gives a vote to a learner that operators prefer, if another voter can give up
// its own: reduceVoters takes that next.
func (p Policy) promotePreferred(v View, c voterCounts) Step {
	m, ok := p.promotionCandidate(v, c)
	if !ok || !m.VotePreferred {
		return Step{}
	}
	replaced, ok := p.demotionCandidate(v, c)
	if !ok || replaced.VotePreferred || !p.keepsQuorumWithout(c, replaced) {
		return Step{}
	}
	return Step{Kind: StepPromote, ID: m.ID, Reason: "an operator wants it to have a vote"}
}

// balanceZones promotes in the zone with the fewest voters, if another zone has at least two voters
// more: reduceVoters takes a vote there next.
func (p Policy) balanceZones(v View, c voterCounts) Step {
	if len(c.zones) < 2 {
		return Step{}
	}
	minVoters, maxVoters := c.votersPerZoneRange()
	m, ok := p.promotionCandidate(v, c)
	if !ok || maxVoters-minVoters < 2 || c.zones[m.Zone] != minVoters {
		return Step{}
	}
	replaced, ok := p.demotionCandidate(v, c)
	if !ok || replaced.VotePreferred || c.zones[replaced.Zone]-c.zones[m.Zone] < 2 {
		return Step{} // reduceVoters would take the vote elsewhere
	}
	return Step{Kind: StepPromote, ID: m.ID, Reason: "its zone has two voters less than another"}
}

// removeLearner removes learners that leave, whose disk is lost, or that were down for too long.
func (p Policy) removeLearner(v View, _ voterCounts) Step {
	for _, m := range v.Members {
		if m.Role == Learner && p.shouldRemove(m) {
			return Step{Kind: StepRemove, ID: m.ID, Reason: departureReason(m)}
		}
	}
	return Step{}
}

// transferLeadership moves the leadership to a healthy voter that stays.
func (p Policy) transferLeadership(v View, reason string) Step {
	for _, m := range v.Members {
		if m.Role == Voter && m.ID != v.Leader && p.healthy(m) && !p.shouldLoseVote(m) {
			return Step{Kind: StepTransferLeadership, ID: m.ID, Reason: reason}
		}
	}
	return Step{}
}
