package membership

// StepKind is the kind of a membership change.
type StepKind int

// The kinds of steps, with the role change of each.
const (
	StepNone               StepKind = iota
	StepPromote                     // learner to voter
	StepDemote                      // voter to learner
	StepRemove                      // learner to non-member
	StepTransferLeadership          // leadership moves to the member
)

func (k StepKind) String() string {
	return [...]string{"none", "promote", "demote", "remove", "transfer leadership to"}[k]
}

// Step is one membership change. The zero value is no change.
type Step struct {
	Kind   StepKind
	ID     string // member ID
	Reason string // shown to operators
}

// rules are evaluated in this order. The first rule that returns a step decides.
var rules = [...]func(Policy, View, voterCounts) Step{
	Policy.demoteLostDisk,
	Policy.promoteUpToTarget,
	Policy.reduceVoters,
	Policy.promotePreferred,
	Policy.balanceZones,
	Policy.removeLearner,
}

// NextStep returns the step to take now. It returns no step while a change is pending, for SettleTime after a
// change or after the election of the leader, or if no majority of the voters is healthy.
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

// demoteLostDisk demotes a voter whose disk is lost without waiting for a replacement: the disk can't
// return, and as long as the member is a voter, it raises the number of votes that a majority needs.
func (p Policy) demoteLostDisk(v View, c voterCounts) Step {
	for _, m := range v.Members {
		if m.Role == Voter && m.DiskLost && p.keepsQuorumWithout(c, m) {
			return Step{Kind: StepDemote, ID: m.ID, Reason: departureReason(m)}
		}
	}
	return Step{}
}

// promoteUpToTarget promotes a learner while fewer voters are retained than wanted. It runs before reduceVoters,
// so that a replacement votes before the voter that it replaces is demoted. One more healthy voter never loses
// the majority, as the quorum grows by one at most.
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

// reduceVoters demotes voters that are leaving, have lost their disk or were down for too long, and then
// the voters above TargetVoters.
func (p Policy) reduceVoters(v View, c voterCounts) Step {
	if step, decided := p.demoteLeavingOrDown(v, c); decided {
		return step
	}
	return p.demoteSurplus(v, c)
}

// demoteLeavingOrDown demotes the first voter, in the order of View.Members, for which shouldLoseVote holds:
//
//   - If at least TargetVoters other voters are retained, any such voter is demoted.
//   - If fewer are retained, a leaving voter is demoted only if there is no learner to promote. A voter that is
//     down or has lost its disk is not demoted.
//   - If the voter is the leader, it transfers the leadership first. While no voter can become leader, there is
//     no step, and the voters after the leader are not considered.
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

// demoteSurplus demotes one voter if more voters are retained than wanted.
func (p Policy) demoteSurplus(v View, c voterCounts) Step {
	if c.retained <= p.TargetVoters {
		return Step{}
	}
	if m, ok := p.demotionCandidate(v, c); ok && p.keepsQuorumWithout(c, m) {
		return Step{Kind: StepDemote, ID: m.ID, Reason: "more voters than wanted"}
	}
	return Step{}
}

// promotePreferred promotes a learner that an operator prefers as a voter, if there is a voter to demote in
// exchange. The next step, by reduceVoters, demotes that voter.
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

// balanceZones promotes a learner in the zone with the fewest voters, if another zone has at least two more
// voters. The next step, by reduceVoters, demotes a voter in that other zone.
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
		return Step{} // reduceVoters would demote a voter in another zone
	}
	return Step{Kind: StepPromote, ID: m.ID, Reason: "its zone has two voters less than another"}
}

// removeLearner removes a learner that is leaving, has lost its disk, or was down for too long.
func (p Policy) removeLearner(v View, _ voterCounts) Step {
	for _, m := range v.Members {
		if m.Role == Learner && p.shouldRemove(m) {
			return Step{Kind: StepRemove, ID: m.ID, Reason: departureReason(m)}
		}
	}
	return Step{}
}

// transferLeadership transfers the leadership to a healthy voter that keeps its vote.
func (p Policy) transferLeadership(v View, reason string) Step {
	for _, m := range v.Members {
		if m.Role == Voter && m.ID != v.Leader && p.healthy(m) && !p.shouldLoseVote(m) {
			return Step{Kind: StepTransferLeadership, ID: m.ID, Reason: reason}
		}
	}
	return Step{}
}
