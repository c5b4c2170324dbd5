package store

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/storeapi"
)

// readIndexResult is a read index and the time at which it was requested. At that time the cluster had
// committed no entry with a higher index.
type readIndexResult struct {
	index uint64
	at    time.Time
}

// readIndexBatcher requests the leader's read index (section 6.4 of the Raft dissertation) for many
// callers at once. Callers that arrive during a round share the next one, because a read index is valid
// only for calls made before its request.
type readIndexBatcher struct {
	readIndex func(context.Context) (index uint64, err error)

	mu      sync.Mutex
	running bool
	next    *readIndexRound // the round that has not started; nil if no caller waits for one
}

// readIndexRound is one request for the read index, shared by all callers that wait for it.
type readIndexRound struct {
	done   chan struct{} // closed once result and err are set
	result readIndexResult
	err    error
}

// await returns a read index that was requested after the call.
func (p *readIndexBatcher) await(ctx context.Context) (readIndexResult, error) {
	r := p.joinNextRound()
	select {
	case <-r.done:
		return r.result, r.err
	case <-ctx.Done():
		return readIndexResult{}, ctx.Err()
	}
}

// joinNextRound returns the round that starts next.
func (p *readIndexBatcher) joinNextRound() *readIndexRound {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = &readIndexRound{done: make(chan struct{})}
	}
	if !p.running {
		p.running = true
		go p.run()
	}
	return p.next
}

// run executes rounds until no caller waits for one.
func (p *readIndexBatcher) run() {
	for {
		r := p.startNextRound()
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
		r.result.at = time.Now()
		r.result.index, r.err = p.readIndex(ctx)
		cancel()
		close(r.done)
	}
}

// startNextRound returns the next round and closes it to further callers. It returns nil if no caller
// waits.
func (p *readIndexBatcher) startNextRound() *readIndexRound {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.next
	p.next = nil
	if r == nil {
		p.running = false
	}
	return r
}

// clusterReadIndex returns the leader's read index, whether this or another node is the leader.
func (s *Store) clusterReadIndex(ctx context.Context) (uint64, error) {
	if s.IsLeader() {
		return s.ReadIndex(ctx)
	}
	leader, err := s.remoteLeader()
	if err != nil {
		if _, notServingErr := s.running(); notServingErr != nil {
			return 0, notServingErr
		}
		return 0, err
	}
	var response storeapi.ReadIndexResponse
	err = s.peers.client.WithCommitTimeout().CallNode(ctx, leader.Admin, http.MethodGet, "/index", nil, &response)
	return response.Index, err
}

// ReadIndex returns the index of the last entry that was committed at the time of the call. It returns
// once a majority of the voters has acknowledged this node as leader since then, and ErrNoLeader on any
// other node.
func (s *Store) ReadIndex(ctx context.Context) (uint64, error) {
	inc, err := s.running()
	if err != nil {
		return 0, err
	}
	term := inc.raft.CurrentTerm()
	if !inc.isLeader() {
		return 0, ErrNoLeader
	}
	if err := inc.awaitBarrier(ctx, term); err != nil {
		return 0, err
	}
	index := inc.raft.CommitIndex()
	readAt := time.Now()
	// VerifyLeader sends a heartbeat to all voters immediately. Its own result may rely on responses to
	// earlier heartbeats, so that awaitMajority checks the responses again.
	if err := awaitFuture(ctx, inc.raft.VerifyLeader()); err != nil {
		return 0, err
	}
	conf := inc.configuration()
	err = inc.transport.awaitMajority(ctx, quorumRequest{
		leader:    raft.ServerID(inc.memberID),
		conf:      conf.Configuration,
		term:      term,
		sentSince: readAt,
		isLeader:  inc.isLeader,
	})
	if err != nil {
		return 0, fmt.Errorf("most voters' answers: %w", err)
	}
	if inc.raft.CurrentTerm() != term {
		return 0, ErrNoLeader
	}
	return index, nil
}

// awaitBarrier commits an entry in the term of a new leader. Before that, the leader does not know which
// entries its predecessors have committed.
func (inc *incarnation) awaitBarrier(ctx context.Context, term uint64) error {
	if inc.barrierTerm.Load() == term {
		return nil
	}
	if err := awaitFuture(ctx, inc.raft.Barrier(storeapi.CommitTimeout)); err != nil {
		return fmt.Errorf("first entry of term %d: %w", term, err)
	}
	if inc.raft.CurrentTerm() != term {
		return ErrNoLeader
	}
	inc.barrierTerm.Store(term)
	return nil
}
