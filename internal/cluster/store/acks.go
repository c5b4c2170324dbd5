package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

const leadsLook = 50 * time.Millisecond // how soon a leader that waits for answers notices that it leads no more

// ackTransport is Raft's transport, which keeps when each peer last answered this node in a
// term. Raft takes any answer of a peer for a proof that it still follows, also one to what
// was sent before somebody asked for the proof: a leader that stood still finds such ones
// on waking up, while another leads already.
//
// It also lets nothing out that was put together for a term which this node has left: as a
// follower it may have cut its log off and written it anew while a goroutine of the leader
// that it was still read from it, and a peer that has not heard of the new term would
// take the mixture for a log.
//
// And no request says that more is committed than it shows the peer to have. Raft has a
// follower commit up to the last entry that the request agrees on; the library goes on to the
// end of the follower's log, where entries of an earlier leader may stand that were never
// committed. That happens if a new leader's first request to a peer is put together late: it
// has no entries, and a commit index beyond what it compares.
type ackTransport struct {
	*raft.NetworkTransport
	currentTerm atomic.Pointer[func() uint64] // this node's; nil before Raft runs
	mu          sync.Mutex
	lastAcks    map[raft.ServerID]peerAck
	updated     chan struct{} // closed at the next answer
}

// peerAck is an answer of a peer that is in a leader's term.
type peerAck struct {
	term   uint64
	sentAt time.Time // when that was sent which it answers
}

func newAckTransport(t *raft.NetworkTransport) *ackTransport {
	return &ackTransport{NetworkTransport: t, lastAcks: map[raft.ServerID]peerAck{}, updated: make(chan struct{})}
}

// AppendEntries is Raft's, and its heartbeats.
func (a *ackTransport) AppendEntries(id raft.ServerID, to raft.ServerAddress, q *raft.AppendEntriesRequest, p *raft.AppendEntriesResponse) error {
	if err := a.checkTerm(q.Term); err != nil {
		return err
	}
	sent := time.Now()
	err := a.NetworkTransport.AppendEntries(id, to, boundCommitIndex(q), p)
	if err == nil && p.Term == q.Term {
		a.record(id, peerAck{q.Term, sent})
	}
	return err
}

// AppendEntriesPipeline is Raft's.
func (a *ackTransport) AppendEntriesPipeline(id raft.ServerID, to raft.ServerAddress) (raft.AppendPipeline, error) {
	p, err := a.NetworkTransport.AppendEntriesPipeline(id, to)
	if err != nil {
		return nil, err
	}
	return &ackPipeline{p, a}, nil
}

// ackPipeline is a pipeline that sends nothing of a term that is over.
type ackPipeline struct {
	raft.AppendPipeline
	transport *ackTransport
}

// AppendEntries sends entries without waiting for an answer.
func (t *ackPipeline) AppendEntries(q *raft.AppendEntriesRequest, p *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	if err := t.transport.checkTerm(q.Term); err != nil {
		return nil, err
	}
	return t.AppendPipeline.AppendEntries(boundCommitIndex(q), p)
}

// boundCommitIndex is a request whose commit index is no further than what it compares and brings.
func boundCommitIndex(q *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	last := q.PrevLogEntry + uint64(len(q.Entries))
	if q.LeaderCommitIndex <= last {
		return q
	}
	own := *q
	own.LeaderCommitIndex = last
	return &own
}

var errStaleTerm = errors.New("the term is over")

// checkTerm refuses what belongs to a term that this node has left.
func (a *ackTransport) checkTerm(term uint64) error {
	if now := a.currentTerm.Load(); now != nil && (*now)() != term {
		return fmt.Errorf("%w: %d", errStaleTerm, term)
	}
	return nil
}

func (a *ackTransport) record(id raft.ServerID, k peerAck) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastAcks[id] = k
	close(a.updated)
	a.updated = make(chan struct{})
}

// awaitMajority waits until most voters, this one among them, have answered in a term to what
// was sent after a time: no other leader had been elected by then. It gives up once this
// node leads no more.
func (a *ackTransport) awaitMajority(ctx context.Context, own raft.ServerID, conf raft.Configuration, term uint64, after time.Time, leads func() bool) error {
	for leads() {
		voters, follow := 0, 0
		a.mu.Lock()
		more := a.updated
		for _, x := range conf.Servers {
			if x.Suffrage != raft.Voter {
				continue
			}
			voters++
			if k := a.lastAcks[x.ID]; x.ID == own || k.term == term && !k.sentAt.Before(after) {
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
