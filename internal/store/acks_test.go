package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
)

// TestAcks: only answers of voters in the term to what was sent since then make a
// majority; one that leads no more does not wait for it.
func TestAcks(t *testing.T) {
	conf := raft.Configuration{Servers: []raft.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d", Suffrage: raft.Nonvoter}}}
	now := time.Now()
	a := newAcks(nil)
	ask := func(leads bool) error {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		return a.majority(ctx, "a", conf, 7, now, func() bool { return leads })
	}
	for _, k := range []struct {
		id   raft.ServerID
		ack  ack
		want error
	}{{"b", ack{7, now.Add(-1)}, context.DeadlineExceeded}, {"b", ack{6, now}, context.DeadlineExceeded},
		{"d", ack{7, now}, context.DeadlineExceeded}, {"c", ack{7, now}, nil}} {
		a.note(k.id, k.ack)
		assert.True(t, errors.Is(ask(true), k.want), k)
	}
	assert.ErrorIs(t, ask(false), ErrNoLeader)
}

// TestTermOver: a node that has left a term sends nothing more of it, whichever way.
func TestTermOver(t *testing.T) {
	a := newAcks(nil)
	term := func() uint64 { return 8 }
	a.term.Store(&term)
	q, p := &raft.AppendEntriesRequest{Term: 7}, &raft.AppendEntriesResponse{}
	assert.ErrorIs(t, a.AppendEntries("b", "", q, p), errTermOver)
	_, err := (&termPipeline{nil, a}).AppendEntries(q, p)
	assert.ErrorIs(t, err, errTermOver)
	assert.NoError(t, a.present(8))
}
