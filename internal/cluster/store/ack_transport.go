package store

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// leadershipCheckInterval is how often a leader that waits for acknowledgments checks that it still leads.
const leadershipCheckInterval = 50 * time.Millisecond

// ackTransport is Raft's network transport with three additional guarantees.
//
// It records when each peer last acknowledged a request of this node in a term. Raft accepts any response
// as proof that the peer still follows, even a response to a request that was sent before the leadership
// check started. A leader that was suspended may read such responses when it resumes, although another
// leader has been elected meanwhile.
//
// It sends no request that was built for a term that this node has left. As a follower, the node may have
// truncated and rewritten its log while a goroutine of its earlier leadership was still reading the log. A
// peer that does not know of the new term would accept the inconsistent entries.
//
// It sends no commit index above the last entry that the request covers. In the Raft paper a follower
// commits at most up to that entry. The library commits up to the end of the follower's log, which may
// hold entries of an earlier leader that were never committed. Without the limit this would happen when a
// new leader builds its first request to a peer late: the request then has no entries and a newer commit
// index.
type ackTransport struct {
	*raft.NetworkTransport
	currentTerm atomic.Pointer[func() uint64] // returns this node's term; nil until Raft runs

	mu          sync.Mutex
	lastAcks    map[raft.ServerID]peerAck
	ackRecorded chan struct{} // closed when the next acknowledgment is recorded
}

// peerAck is a peer's acknowledgment of a request that a leader sent in a term.
type peerAck struct {
	term   uint64
	sentAt time.Time // when the acknowledged request was sent
}

func newAckTransport(t *raft.NetworkTransport) *ackTransport {
	return &ackTransport{NetworkTransport: t, lastAcks: map[raft.ServerID]peerAck{}, ackRecorded: make(chan struct{})}
}

// AppendEntries sends entries or a heartbeat, and records the peer's acknowledgment.
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

// ackPipeline is a pipeline that checks terms and limits commit indexes like ackTransport. It records no
// acknowledgments: those of heartbeats, which do not go through a pipeline, are sufficient.
type ackPipeline struct {
	raft.AppendPipeline
	transport *ackTransport
}

// AppendEntries sends entries without waiting for the response.
func (p *ackPipeline) AppendEntries(request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	if err := p.transport.checkTerm(request.Term); err != nil {
		return nil, err
	}
	return p.AppendPipeline.AppendEntries(clampCommitIndex(request), response)
}

// clampCommitIndex returns the request with a commit index no higher than the last entry that the request
// compares or contains.
func clampCommitIndex(request *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	last := request.PrevLogEntry + uint64(len(request.Entries))
	if request.LeaderCommitIndex <= last {
		return request
	}
	bounded := *request
	bounded.LeaderCommitIndex = last
	return &bounded
}

// checkTerm returns errStaleTerm if this node is no longer in the term.
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

// quorumRequest describes the acknowledgments that awaitMajority waits for.
type quorumRequest struct {
	leader    raft.ServerID // this node's ID
	conf      raft.Configuration
	term      uint64      // term in which the voters have to respond
	sentSince time.Time   // responses to requests sent before this time do not count
	isLeader  func() bool // reports whether this node is still the leader
}

// awaitMajority waits until a majority of the voters, including this node, has responded in the term to
// requests sent at or after sentSince. This proves that no other leader had been elected by then. It
// returns ErrNoLeader once this node has lost the leadership.
func (t *ackTransport) awaitMajority(ctx context.Context, request quorumRequest) error {
	for request.isLeader() {
		voters, followers, ackRecorded := t.countFollowers(request)
		if 2*followers > voters {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ackRecorded:
		case <-time.After(leadershipCheckInterval):
		}
	}
	return ErrNoLeader
}

// countFollowers returns the number of voters, and how many of them have acknowledged this node as leader
// since request.sentSince. ackRecorded is closed when the next acknowledgment is recorded.
func (t *ackTransport) countFollowers(request quorumRequest) (voters, followers int, ackRecorded <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range request.conf.Servers {
		if server.Suffrage != raft.Voter {
			continue
		}
		voters++
		ack := t.lastAcks[server.ID]
		if server.ID == request.leader || ack.term == request.term && !ack.sentAt.Before(request.sentSince) {
			followers++
		}
	}
	return voters, followers, t.ackRecorded
}
