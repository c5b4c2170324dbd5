package store

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// leadershipCheckInterval is how soon a leader that waits for answers notices that it lost the
// leadership.
const leadershipCheckInterval = 50 * time.Millisecond

// ackTransport is Raft's transport with three more guarantees.
//
// It records when each peer last answered this node in a term. Raft takes any answer of a peer as
// proof that the peer still follows, also an answer to what was sent before the proof was requested:
// a leader that was suspended finds such answers when it goes on, while another one leads already.
//
// It sends nothing that was put together for a term which this node has left. As a follower, the
// node may have truncated and rewritten its log while a goroutine of its leadership still read from
// it, and a peer that does not know of the new term would accept the mixture.
//
// It sends no commit index beyond the entries that the request compares or brings. By the Raft
// paper a follower commits up to the last entry that the request agrees on; the library goes on to
// the end of the follower's log, where entries of an earlier leader may stand that were never
// committed. That would happen if a new leader's first request to a peer is put together late, as
// it then has no entries and a newer commit index.
type ackTransport struct {
	*raft.NetworkTransport
	currentTerm atomic.Pointer[func() uint64] // this node's; nil until Raft runs

	mu          sync.Mutex
	lastAcks    map[raft.ServerID]peerAck
	ackRecorded chan struct{} // closed at the next answer
}

// peerAck is a peer's answer in a leader's term.
type peerAck struct {
	term   uint64
	sentAt time.Time // of the request that it answers
}

func newAckTransport(t *raft.NetworkTransport) *ackTransport {
	return &ackTransport{NetworkTransport: t, lastAcks: map[raft.ServerID]peerAck{}, ackRecorded: make(chan struct{})}
}

// AppendEntries sends entries or a heartbeat, and records the answer.
func (t *ackTransport) AppendEntries(
	id raft.ServerID,
	addr raft.ServerAddress,
	request *raft.AppendEntriesRequest,
	response *raft.AppendEntriesResponse,
) error {
	if err := t.checkTerm(request.Term); err != nil {
		return err
	}
	sentAt := time.Now()
	err := t.NetworkTransport.AppendEntries(id, addr, clampCommitIndex(request), response)
	if err == nil && response.Term == request.Term {
		t.recordAck(id, peerAck{term: request.Term, sentAt: sentAt})
	}
	return err
}

// AppendEntriesPipeline opens a pipeline to a peer.
func (t *ackTransport) AppendEntriesPipeline(id raft.ServerID, addr raft.ServerAddress) (raft.AppendPipeline, error) {
	pipeline, err := t.NetworkTransport.AppendEntriesPipeline(id, addr)
	if err != nil {
		return nil, err
	}
	return &ackPipeline{AppendPipeline: pipeline, transport: t}, nil
}

// ackPipeline is a pipeline with the guarantees of its transport, but for the records: heartbeats,
// which don't go through a pipeline, are enough for them.
type ackPipeline struct {
	raft.AppendPipeline
	transport *ackTransport
}

// AppendEntries sends entries without waiting for the answer.
func (p *ackPipeline) AppendEntries(request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	if err := p.transport.checkTerm(request.Term); err != nil {
		return nil, err
	}
	return p.AppendPipeline.AppendEntries(clampCommitIndex(request), response)
}

// clampCommitIndex is a request whose commit index is no further than the entries that it compares
// and brings.
func clampCommitIndex(request *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	last := request.PrevLogEntry + uint64(len(request.Entries))
	if request.LeaderCommitIndex <= last {
		return request
	}
	bounded := *request
	bounded.LeaderCommitIndex = last
	return &bounded
}

// checkTerm is errStaleTerm for a term that this node has left.
func (t *ackTransport) checkTerm(term uint64) error {
	if current := t.currentTerm.Load(); current != nil && (*current)() != term {
		return fmt.Errorf("%w: %d", errStaleTerm, term)
	}
	return nil
}

func (t *ackTransport) recordAck(id raft.ServerID, ack peerAck) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastAcks[id] = ack
	close(t.ackRecorded)
	t.ackRecorded = make(chan struct{})
}

// quorumRequest asks for a majority that still follows a leader.
type quorumRequest struct {
	leader    raft.ServerID // this node
	conf      raft.Configuration
	term      uint64      // in which the voters have to answer
	sentSince time.Time   // answers to requests that were sent earlier do not count
	isLeader  func() bool // reports whether this node still leads
}

// awaitMajority waits until a majority of the voters, this one among them, has answered in the term
// to requests sent at or after the time: no other leader had been elected by then. It is ErrNoLeader
// once this node has lost the leadership.
func (t *ackTransport) awaitMajority(ctx context.Context, request quorumRequest) error {
	for request.isLeader() {
		voters, following, updated := t.countFollowers(request)
		if 2*following > voters {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-updated:
		case <-time.After(leadershipCheckInterval):
		}
	}
	return ErrNoLeader
}

// countFollowers counts the voters, and those that follow this node as requested. updated is closed at
// the next answer.
func (t *ackTransport) countFollowers(request quorumRequest) (voters, following int, updated <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range request.conf.Servers {
		if server.Suffrage != raft.Voter {
			continue
		}
		voters++
		ack := t.lastAcks[server.ID]
		if server.ID == request.leader || ack.term == request.term && !ack.sentAt.Before(request.sentSince) {
			following++
		}
	}
	return voters, following, t.ackRecorded
}
