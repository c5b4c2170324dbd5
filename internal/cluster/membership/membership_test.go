package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestNext(t *testing.T) {
	p := Policy{Voters: 3, ReplaceAfter: time.Minute, ForgetAfter: time.Hour, Settle: time.Second, Lag: 10}
	voter := func(id, zone string) Member { return Member{ID: id, Zone: zone, Role: Voter, Up: true} }
	learner := func(id, zone string) Member { return Member{ID: id, Zone: zone, Up: true} }
	down := func(m Member, d time.Duration) Member { m.Up, m.Down = false, d; return m }
	leaving := func(m Member) Member { m.Leaving = true; return m }
	lost := func(m Member) Member { m.Up, m.Lost = false, true; return m }
	wanted := func(m Member) Member { m.Wanted = true; return m }
	behind := func(m Member, n uint64) Member { m.Behind = n; return m }
	three := []Member{voter("a", "x"), voter("b", "y"), voter("c", "z")}
	with := func(list []Member, m ...Member) []Member { return append(append([]Member{}, list...), m...) }
	for _, c := range []struct {
		name    string
		members []Member
		kind    Kind
		id      string
	}{
		{"quiet", three, None, ""},
		{"a learner waits", with(three, learner("d", "x")), None, ""},
		{"one voter missing", with(three[:2], learner("d", "x")), Promote, "d"},
		{"the learner is behind", with(three[:2], behind(learner("d", "x"), 11)), None, ""},
		{"the zone with fewest", with(three[:2], learner("d", "x"), learner("e", "z")), Promote, "e"},
		{"down for a moment", with(three[:2], down(voter("c", "z"), time.Second), learner("d", "z")), None, ""},
		{"down for long", with(three[:2], down(voter("c", "z"), time.Minute), learner("d", "z")), Promote, "d"},
		{"replaced", with(three[:2], down(voter("c", "z"), time.Minute), voter("d", "z")), Demote, "c"},
		{"down for long, nobody to replace it", with(three[:2], down(voter("c", "z"), time.Minute)), None, ""},
		{"no majority", []Member{voter("a", "x"), down(voter("b", "y"), time.Hour), down(voter("c", "z"), time.Hour), learner("d", "y")}, None, ""},
		{"its disk is gone", with(three[:2], lost(voter("c", "z"))), Demote, "c"},
		{"its disk is gone, its successor waits", with(three[:2], lost(voter("c", "z")), learner("d", "z")), Demote, "c"},
		{"its successor has the vote next", with(three[:2], lost(learner("c", "z")), learner("d", "z")), Promote, "d"},
		{"then it is forgotten", with(three, lost(learner("d", "z"))), Remove, "d"},
		{"two of three disks are gone", with(three[:1], lost(voter("b", "y")), lost(voter("c", "z")), learner("d", "z")), None, ""},
		{"an operator wants it to vote", with(three, wanted(learner("d", "x"))), Promote, "d"},
		{"all that vote are wanted", with([]Member{wanted(three[0]), wanted(three[1]), wanted(three[2])}, wanted(learner("d", "x"))), None, ""},
		{"leaves, with a standby", with(three[:2], leaving(voter("c", "z")), learner("d", "z")), Promote, "d"},
		{"leaves, without one", with(three[:2], leaving(voter("c", "z"))), Demote, "c"},
		{"the leader leaves", []Member{leaving(voter("a", "x")), voter("b", "y"), voter("c", "z"), voter("d", "x")}, Transfer, "b"},
		{"has left", with(three, leaving(learner("d", "x"))), Remove, "d"},
		{"not seen for long", with(three, down(learner("d", "x"), time.Hour)), Remove, "d"},
		{"zones apart by two", []Member{voter("a", "x"), voter("b", "x"), voter("c", "x"), learner("d", "y")}, Promote, "d"},
		{"zones apart, but another would lose its vote", []Member{voter("a", "x"), voter("b", "x"), down(voter("c", "y"), time.Second), learner("d", "z")}, None, ""},
		{"one too many", []Member{voter("a", "x"), voter("b", "x"), voter("c", "x"), voter("d", "y")}, Demote, "c"},
	} {
		s := p.Next(View{Leader: "a", Members: c.members, Settled: time.Second})
		assert.Equal(t, Step{c.kind, c.id, s.Why}, s, c.name)
		assert.Equal(t, c.kind != None, s.Why != "", c.name)
		assert.Zero(t, p.Next(View{Leader: "a", Members: c.members, Settled: time.Second, Pending: true}), c.name)
		assert.Zero(t, p.Next(View{Leader: "a", Members: c.members}), c.name)
	}
}
