package store

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const leadsLook = 50 * time.Millisecond // how soon a leader that waits for answers notices that it leads no more

// acks is Raft's transport, which keeps when each peer last answered this node in a
// term. Raft takes any answer of a peer for a proof that it still follows, also one to what
// was sent before somebody asked for the proof: a leader that stood still finds such ones
// on waking up, while another leads already.
type acks struct {
	*raft.NetworkTransport
	mu   sync.Mutex
	last map[raft.ServerID]ack
	more chan struct{} // closed at the next answer
}

// ack is an answer of a peer that is in a leader's term.
type ack struct {
	term uint64
	sent time.Time // when that was sent which it answers
}

func newAcks(t *raft.NetworkTransport) *acks {
	return &acks{NetworkTransport: t, last: map[raft.ServerID]ack{}, more: make(chan struct{})}
}

// AppendEntries is Raft's, and its heartbeats.
func (a *acks) AppendEntries(id raft.ServerID, to raft.ServerAddress, q *raft.AppendEntriesRequest, p *raft.AppendEntriesResponse) error {
	sent := time.Now()
	err := a.NetworkTransport.AppendEntries(id, to, q, p)
	if err == nil && p.Term == q.Term {
		a.note(id, ack{q.Term, sent})
	}
	return err
}

func (a *acks) note(id raft.ServerID, k ack) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[id] = k
	close(a.more)
	a.more = make(chan struct{})
}

// majority waits until most voters, this one among them, have answered in a term to what
// was sent after a time: no other leader had been elected by then. It gives up once this
// node leads no more.
func (a *acks) majority(ctx context.Context, own raft.ServerID, conf raft.Configuration, term uint64, after time.Time, leads func() bool) error {
	for leads() {
		voters, follow := 0, 0
		a.mu.Lock()
		more := a.more
		for _, x := range conf.Servers {
			if x.Suffrage != raft.Voter {
				continue
			}
			voters++
			if k := a.last[x.ID]; x.ID == own || k.term == term && !k.sent.Before(after) {
				follow++
			}
		}
		a.mu.Unlock()
		if 2*follow > voters {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-more:
		case <-time.After(leadsLook):
		}
	}
	return ErrNoLeader
}
