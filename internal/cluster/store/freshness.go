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

// Freshness is what a reader asks for. The zero value is a linearizable read.
type Freshness struct {
	Local        bool          // whatever this node knows, however old
	MaxStaleness time.Duration // at most so old; 0 is linearizable
}

const (
	// proveTimeout bounds one proof of freshness, and the wait for the state to catch up with it.
	proveTimeout = 2 * time.Second
	// appliedCheckInterval is how often a reader looks whether entries that are no commands
	// have moved Raft's applied index.
	appliedCheckInterval = time.Millisecond
)

// freshnessProof says that the cluster had committed no more than index at a time.
type freshnessProof struct {
	index uint64
	at    time.Time
}

// freshnessProver proves freshness by the leader's read index (section 6.4 of the Raft
// dissertation). Callers that come while a round runs share the next one: only a round that began
// after a caller came proves anything to it.
type freshnessProver struct {
	readIndex func(context.Context) (index uint64, err error)

	mu      sync.Mutex
	running bool
	next    *proofRound // the round that has not begun, nil if nobody waits for one
}

// proofRound is one request for the read index, for all who wait for it.
type proofRound struct {
	done  chan struct{} // closed once proof and err are set
	proof freshnessProof
	err   error
}

// prove gives a proof that is younger than the call.
func (p *freshnessProver) prove(ctx context.Context) (freshnessProof, error) {
	r := p.join()
	select {
	case <-r.done:
		return r.proof, r.err
	case <-ctx.Done():
		return freshnessProof{}, ctx.Err()
	}
}

// join is the round that begins next.
func (p *freshnessProver) join() *proofRound {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = &proofRound{done: make(chan struct{})}
	}
	if !p.running {
		p.running = true
		go p.run()
	}
	return p.next
}

// run carries out rounds until nobody waits for one.
func (p *freshnessProver) run() {
	for {
		r := p.begin()
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), proveTimeout)
		r.proof.at = time.Now()
		r.proof.index, r.err = p.readIndex(ctx)
		cancel()
		close(r.done)
	}
}

// begin takes the next round; nobody joins it any more.
func (p *freshnessProver) begin() *proofRound {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.next
	p.next = nil
	if r == nil {
		p.running = false
	}
	return r
}

// WaitFresh waits until this node's state is as fresh as the reader asks, and returns the age of
// that state. Its error is ErrNotFresh.
func (s *Store) WaitFresh(ctx context.Context, f Freshness) (age time.Duration, err error) {
	if f.Local {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	if f.MaxStaleness > 0 {
		if at := s.lastFresh(); !at.IsZero() && time.Since(at) <= f.MaxStaleness {
			return time.Since(at), nil
		}
	}
	proof, err := s.readProver.prove(ctx)
	if err == nil {
		err = s.waitApplied(ctx, proof.index)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotFresh, err)
	}
	s.noteFresh(proof.at)
	return time.Since(proof.at), nil
}

// lastFresh is a time at which this node knew all that was committed; zero if there was none.
func (s *Store) lastFresh() time.Time {
	s.freshMu.Lock()
	defer s.freshMu.Unlock()
	return s.freshAt
}

func (s *Store) noteFresh(at time.Time) {
	s.freshMu.Lock()
	defer s.freshMu.Unlock()
	if at.After(s.freshAt) {
		s.freshAt = at
	}
}

// committedIndex is the read index of whoever leads.
func (s *Store) committedIndex(ctx context.Context) (uint64, error) {
	if s.IsLeader() {
		return s.ReadIndex(ctx)
	}
	leader, err := s.remoteLeader()
	if err != nil {
		if _, stopped := s.running(); stopped != nil {
			return 0, stopped
		}
		return 0, err
	}
	var answer storeapi.ReadIndexResponse
	err = s.peers.client.WithCommitTimeout().CallNode(ctx, leader.Admin, http.MethodGet, "/index", nil, &answer)
	return answer.Index, err
}

// ReadIndex is the index of the last entry that was committed when this was called; only the
// leader can. It returns once a majority of the voters has followed this leader since then.
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
	// VerifyLeader sends a heartbeat to all voters at once. Its own result may rest on answers to
	// earlier ones, so that awaitMajority checks them again.
	if err := awaitFuture(ctx, inc.raft.VerifyLeader()); err != nil {
		return 0, err
	}
	conf, _ := inc.configuration()
	err = inc.transport.awaitMajority(ctx, raft.ServerID(inc.memberID), conf, term, readAt, inc.isLeader)
	if err != nil {
		return 0, fmt.Errorf("most voters' answers: %w", err)
	}
	if inc.raft.CurrentTerm() != term {
		return 0, ErrNoLeader
	}
	return index, nil
}

// awaitBarrier commits an entry in a new leader's term: until then it does not know how far its
// predecessors had committed.
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

// waitApplied waits until the state holds all commands up to an index. Raft's applied index alone
// does not tell: it counts entries that are handed to the state machine and not carried out yet,
// and entries that are no commands.
func (s *Store) waitApplied(ctx context.Context, index uint64) error {
	for {
		inc, err := s.running()
		if err != nil {
			return err
		}
		applied, advanced := s.state.progress()
		if applied >= index || inc.raft.AppliedIndex() >= index && !inc.hasCommand(applied+1, index) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("at entry %d, waiting for %d: %w", applied, index, ctx.Err())
		case <-advanced:
		case <-time.After(appliedCheckInterval):
		}
	}
}

// awaitFuture waits for a result of Raft, which gives none once its disk has failed.
func awaitFuture(ctx context.Context, f raft.Future) error {
	result := make(chan error, 1)
	go func() { result <- f.Error() }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
