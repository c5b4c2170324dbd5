package diskidentity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	founders := []string{"a", "b", "c"}
	fresh := func(name string) Own {
		return Own{ID: ID(name, "1"), Fresh: true, Empty: true, Founders: founders}
	}
	at := Mark{Starts: 3, Term: 5, LastTerm: 4, LastIndex: 40}
	voter := Own{ID: "a@1", Cluster: "x", Mark: at, Config: 7, Members: []string{"a@1", "b@1", "c@1"}, Voters: []string{"a@1", "b@1", "c@1"}, Founders: founders}
	with := func(change func(*Own)) Own { o := voter; change(&o); return o }
	is := func(id string, change func(*Word)) Word {
		w := Word{ID: id, Cluster: "x", Config: 7, Members: voter.Members, Voters: voter.Voters, Seen: &at}
		if change != nil {
			change(&w)
		}
		return w
	}
	isNew := func(id string) Word { return Word{ID: id, Fresh: true} }
	seen := func(m Mark) func(*Word) { return func(w *Word) { w.Seen = &m } }
	words := func(list ...Word) map[string]Word {
		m := map[string]Word{}
		for _, w := range list {
			m[Name(w.ID)] = w
		}
		return m
	}
	for _, c := range []struct {
		name  string
		own   Own
		words map[string]Word
		want  Verdict
	}{
		{"all new, the first", fresh("a"), words(isNew("b@1"), isNew("c@1")), Found},
		{"all new, another", fresh("b"), words(isNew("a@1"), isNew("c@1")), Join},
		{"one not there", fresh("a"), words(isNew("b@1")), Wait},
		{"a wiped one, and one that knows a cluster", fresh("a"), words(isNew("b@1"), is("c@1", nil)), Join},
		{"a folder in the place of a refused one", Own{ID: "a@2", Empty: true, Founders: founders}, words(isNew("b@1"), isNew("c@1")), Join},
		{"alone in its file", Own{ID: "a@1", Fresh: true, Empty: true, Founders: []string{"a"}}, nil, Found},
		{"no founder", Own{ID: "d@1", Fresh: true, Empty: true, Founders: founders}, words(isNew("a@1"), isNew("b@1"), isNew("c@1")), Join},
		{"nobody answers", voter, nil, Wait},
		{"one other has seen it as it is", voter, words(is("b@1", nil)), Resume},
		{"one other has seen less", voter, words(is("b@1", seen(Mark{Starts: 1}))), Resume},
		{"one other has never seen it", voter, words(is("b@1", func(w *Word) { w.Seen = nil })), Resume},
		{"the other has a new disk", voter, words(isNew("b@2")), Wait},
		{"of another cluster", voter, words(is("b@1", func(w *Word) { w.Cluster = "y" })), Wait},
		{"all must vouch", with(func(o *Own) { o.Vouchers = -1 }), words(is("b@1", nil)), Wait},
		{"all do", with(func(o *Own) { o.Vouchers = -1 }), words(is("b@1", nil), is("c@1", nil)), Resume},
		{"seen at a later start", voter, words(is("b@1", seen(Mark{4, 5, 4, 40}))), Renew},
		{"in a later term", voter, words(is("b@1", seen(Mark{3, 6, 4, 40}))), Renew},
		{"with a longer log", voter, words(is("b@1", seen(Mark{3, 5, 4, 41}))), Renew},
		{"with a longer log of an older term", voter, words(is("b@1", seen(Mark{3, 5, 3, 99}))), Resume},
		{"seen with more by a learner", voter, words(is("b@1", nil), is("d@1", seen(Mark{3, 5, 4, 41}))), Renew},
		{"no longer a member", voter, words(is("b@1", func(w *Word) { w.Config, w.Members = 9, []string{"a@2", "b@1"} })), Renew},
		{"not a member yet in an older configuration", voter, words(is("b@1", func(w *Word) { w.Config, w.Members = 6, []string{"b@1"} })), Resume},
		{"voters have changed", voter, words(is("d@1", func(w *Word) {
			w.Config, w.Members, w.Voters = 9, []string{"a@1", "d@1", "e@1"}, []string{"a@1", "d@1", "e@1"}
		})), Resume},
		{"has lost its vote", voter, words(is("b@1", func(w *Word) { w.Config, w.Voters = 9, []string{"b@1", "c@1"} })), Join},
		{"a learner", with(func(o *Own) { o.Voters = []string{"b@1", "c@1"} }), nil, Join},
		{"its cluster was recovered as another", voter, words(is("b@1", nil), is("c@9", func(w *Word) { w.Cluster, w.Was = "y", []string{"x"} })), Wait},
		{"a cluster of one", with(func(o *Own) { o.Members, o.Voters = []string{"a@1"}, []string{"a@1"} }), nil, Resume},
	} {
		got, why := Decide(c.own, c.words)
		assert.Equal(t, c.want.String(), got.String(), "%s: %s", c.name, why)
		assert.NotEmpty(t, why, c.name)
	}
}

func TestMayJoin(t *testing.T) {
	up := func(id string) bool { return id == "a@1" }
	members := []string{"a@1", "b@1"}
	assert.Empty(t, MayJoin("b@2", members, nil, up, 3), "its old disk is gone")
	assert.Contains(t, MayJoin("a@2", members, nil, up, 3), "with another disk")
	assert.Contains(t, MayJoin("c@1", members, []string{"c"}, up, 3), "store add c")
	assert.Contains(t, MayJoin("c@1", members, nil, up, 2), "2 members already")
}
