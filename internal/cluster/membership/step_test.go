package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestNext(t *testing.T) {
	p := Policy{TargetVoters: 3, ReplaceAfter: time.Minute, RemoveLearnerAfter: time.Hour, SettleTime: time.Second, MaxEntriesBehind: 10}
	voter := func(id, zone string) Member { return Member{ID: id, Zone: zone, Role: Voter, Up: true} }
	learner := func(id, zone string) Member { return Member{ID: id, Zone: zone, Up: true} }
	down := func(m Member, d time.Duration) Member {
		m.Up = false
		m.DownFor = d
		return m
	}
	leaving := func(m Member) Member {
		m.Leaving = true
		return m
	}
	lost := func(m Member) Member {
		m.Up = false
		m.DiskLost = true
		return m
	}
	preferred := func(m Member) Member {
		m.VotePreferred = true
		return m
	}
	lagging := func(m Member, entries uint64) Member {
		m.EntriesBehind = entries
		return m
	}
	threeVoters := []Member{voter("a", "x"), voter("b", "y"), voter("c", "z")}
	withMembers := func(list []Member, m ...Member) []Member { return append(append([]Member{}, list...), m...) }
	for _, c := range []struct {
		name    string
		members []Member
		kind    StepKind
		id      string
	}{
		{"three healthy voters", threeVoters, StepNone, ""},
		{"enough voters, one learner", withMembers(threeVoters, learner("d", "x")), StepNone, ""},
		{"one voter missing", withMembers(threeVoters[:2], learner("d", "x")), StepPromote, "d"},
		{"one voter missing, the learner lags", withMembers(threeVoters[:2], lagging(learner("d", "x"), 11)), StepNone, ""},
		{"promote in the zone with fewest voters", withMembers(threeVoters[:2], learner("d", "x"), learner("e", "z")), StepPromote, "e"},
		{"voter down for less than ReplaceAfter", withMembers(threeVoters[:2], down(voter("c", "z"), time.Second), learner("d", "z")), StepNone, ""},
		{"voter down for ReplaceAfter", withMembers(threeVoters[:2], down(voter("c", "z"), time.Minute), learner("d", "z")), StepPromote, "d"},
		{"voter down for ReplaceAfter, replacement votes", withMembers(threeVoters[:2], down(voter("c", "z"), time.Minute), voter("d", "z")), StepDemote, "c"},
		{"voter down for ReplaceAfter, no learner", withMembers(threeVoters[:2], down(voter("c", "z"), time.Minute)), StepNone, ""},
		{"no majority", []Member{voter("a", "x"), down(voter("b", "y"), time.Hour), down(voter("c", "z"), time.Hour), learner("d", "y")}, StepNone, ""},
		{"voter with a lost disk", withMembers(threeVoters[:2], lost(voter("c", "z"))), StepDemote, "c"},
		{"voter with a lost disk, learner available", withMembers(threeVoters[:2], lost(voter("c", "z")), learner("d", "z")), StepDemote, "c"},
		{"learner with a lost disk, healthy learner available", withMembers(threeVoters[:2], lost(learner("c", "z")), learner("d", "z")), StepPromote, "d"},
		{"learner with a lost disk, enough voters", withMembers(threeVoters, lost(learner("d", "z"))), StepRemove, "d"},
		{"two of three disks lost", withMembers(threeVoters[:1], lost(voter("b", "y")), lost(voter("c", "z")), learner("d", "z")), StepNone, ""},
		{"preferred learner", withMembers(threeVoters, preferred(learner("d", "x"))), StepPromote, "d"},
		{"preferred learner, all voters are preferred", withMembers([]Member{preferred(threeVoters[0]), preferred(threeVoters[1]), preferred(threeVoters[2])}, preferred(learner("d", "x"))), StepNone, ""},
		{"voter leaving, learner available", withMembers(threeVoters[:2], leaving(voter("c", "z")), learner("d", "z")), StepPromote, "d"},
		{"voter leaving, no learner", withMembers(threeVoters[:2], leaving(voter("c", "z"))), StepDemote, "c"},
		{"leader leaving", []Member{leaving(voter("a", "x")), voter("b", "y"), voter("c", "z"), voter("d", "x")}, StepTransferLeadership, "b"},
		{"learner leaving", withMembers(threeVoters, leaving(learner("d", "x"))), StepRemove, "d"},
		{"learner down for RemoveLearnerAfter", withMembers(threeVoters, down(learner("d", "x"), time.Hour)), StepRemove, "d"},
		{"zones differ by two voters", []Member{voter("a", "x"), voter("b", "x"), voter("c", "x"), learner("d", "y")}, StepPromote, "d"},
		{"zones differ by two voters, demotion would be in another zone", []Member{voter("a", "x"), voter("b", "x"), down(voter("c", "y"), time.Second), learner("d", "z")}, StepNone, ""},
		{"one voter too many", []Member{voter("a", "x"), voter("b", "x"), voter("c", "x"), voter("d", "y")}, StepDemote, "c"},
	} {
		s := p.NextStep(View{Leader: "a", Members: c.members, SinceChange: time.Second})
		assert.Equal(t, Step{c.kind, c.id, s.Reason}, s, c.name)
		assert.Equal(t, c.kind != StepNone, s.Reason != "", c.name)
		assert.Zero(t, p.NextStep(View{Leader: "a", Members: c.members, SinceChange: time.Second, ChangePending: true}), c.name)
		assert.Zero(t, p.NextStep(View{Leader: "a", Members: c.members}), c.name)
	}
}
