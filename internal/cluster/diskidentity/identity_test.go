package diskidentity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	founders := []string{"a", "b", "c"}
	fresh := func(name string) LocalDisk {
		return LocalDisk{ID: MemberID(name, "1"), Fresh: true, Empty: true, Founders: founders}
	}
	at := Watermark{Starts: 3, Term: 5, LastTerm: 4, LastIndex: 40}
	voter := LocalDisk{ID: "a@1", Cluster: "x", Watermark: at, ConfigIndex: 7, Members: []string{"a@1", "b@1", "c@1"}, Voters: []string{"a@1", "b@1", "c@1"}, Founders: founders}
	with := func(change func(*LocalDisk)) LocalDisk { o := voter; change(&o); return o }
	is := func(id string, change func(*Attestation)) Attestation {
		w := Attestation{ID: id, Cluster: "x", ConfigIndex: 7, Members: voter.Members, Voters: voter.Voters, LastObserved: &at}
		if change != nil {
			change(&w)
		}
		return w
	}
	isNew := func(id string) Attestation { return Attestation{ID: id, Fresh: true} }
	seen := func(m Watermark) func(*Attestation) { return func(w *Attestation) { w.LastObserved = &m } }
	words := func(list ...Attestation) map[string]Attestation {
		m := map[string]Attestation{}
		for _, w := range list {
			m[MemberName(w.ID)] = w
		}
		return m
	}
	for _, c := range []struct {
		name  string
		own   LocalDisk
		words map[string]Attestation
		want  Verdict
	}{
		{"all new, the first", fresh("a"), words(isNew("b@1"), isNew("c@1")), VerdictBootstrap},
		{"all new, another", fresh("b"), words(isNew("a@1"), isNew("c@1")), VerdictJoin},
		{"one not there", fresh("a"), words(isNew("b@1")), VerdictWait},
		{"a wiped one, and one that knows a cluster", fresh("a"), words(isNew("b@1"), is("c@1", nil)), VerdictJoin},
		{"a folder in the place of a refused one", LocalDisk{ID: "a@2", Empty: true, Founders: founders}, words(isNew("b@1"), isNew("c@1")), VerdictJoin},
		{"alone in its file", LocalDisk{ID: "a@1", Fresh: true, Empty: true, Founders: []string{"a"}}, nil, VerdictBootstrap},
		{"no founder", LocalDisk{ID: "d@1", Fresh: true, Empty: true, Founders: founders}, words(isNew("a@1"), isNew("b@1"), isNew("c@1")), VerdictJoin},
		{"nobody answers", voter, nil, VerdictWait},
		{"one other has seen it as it is", voter, words(is("b@1", nil)), VerdictResume},
		{"one other has seen less", voter, words(is("b@1", seen(Watermark{Starts: 1}))), VerdictResume},
		{"one other has never seen it", voter, words(is("b@1", func(w *Attestation) { w.LastObserved = nil })), VerdictResume},
		{"the other has a new disk", voter, words(isNew("b@2")), VerdictWait},
		{"of another cluster", voter, words(is("b@1", func(w *Attestation) { w.Cluster = "y" })), VerdictWait},
		{"all must vouch", with(func(o *LocalDisk) { o.Attesters = -1 }), words(is("b@1", nil)), VerdictWait},
		{"all do", with(func(o *LocalDisk) { o.Attesters = -1 }), words(is("b@1", nil), is("c@1", nil)), VerdictResume},
		{"seen at a later start", voter, words(is("b@1", seen(Watermark{4, 5, 4, 40}))), VerdictRenew},
		{"in a later term", voter, words(is("b@1", seen(Watermark{3, 6, 4, 40}))), VerdictRenew},
		{"with a longer log", voter, words(is("b@1", seen(Watermark{3, 5, 4, 41}))), VerdictRenew},
		{"with a longer log of an older term", voter, words(is("b@1", seen(Watermark{3, 5, 3, 99}))), VerdictResume},
		{"seen with more by a learner", voter, words(is("b@1", nil), is("d@1", seen(Watermark{3, 5, 4, 41}))), VerdictRenew},
		{"no longer a member", voter, words(is("b@1", func(w *Attestation) { w.ConfigIndex, w.Members = 9, []string{"a@2", "b@1"} })), VerdictRenew},
		{"not a member yet in an older configuration", voter, words(is("b@1", func(w *Attestation) { w.ConfigIndex, w.Members = 6, []string{"b@1"} })), VerdictResume},
		{"voters have changed", voter, words(is("d@1", func(w *Attestation) {
			w.ConfigIndex, w.Members, w.Voters = 9, []string{"a@1", "d@1", "e@1"}, []string{"a@1", "d@1", "e@1"}
		})), VerdictResume},
		{"has lost its vote", voter, words(is("b@1", func(w *Attestation) { w.ConfigIndex, w.Voters = 9, []string{"b@1", "c@1"} })), VerdictJoin},
		{"a learner", with(func(o *LocalDisk) { o.Voters = []string{"b@1", "c@1"} }), nil, VerdictJoin},
		{"its cluster was recovered as another", voter, words(is("b@1", nil), is("c@9", func(w *Attestation) { w.Cluster, w.PreviousClusters = "y", []string{"x"} })), VerdictWait},
		{"a cluster of one", with(func(o *LocalDisk) { o.Members, o.Voters = []string{"a@1"}, []string{"a@1"} }), nil, VerdictResume},
	} {
		got, why := Decide(c.own, c.words)
		assert.Equal(t, c.want.String(), got.String(), "%s: %s", c.name, why)
		assert.NotEmpty(t, why, c.name)
	}
}

func TestMayJoin(t *testing.T) {
	up := func(id string) bool { return id == "a@1" }
	members := []string{"a@1", "b@1"}
	assert.Empty(t, CheckJoin("b@2", members, nil, up, 3), "its old disk is gone")
	assert.Contains(t, CheckJoin("a@2", members, nil, up, 3), "with another disk")
	assert.Contains(t, CheckJoin("c@1", members, []string{"c"}, up, 3), "store add c")
	assert.Contains(t, CheckJoin("c@1", members, nil, up, 2), "2 members already")
}
