package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/storeapi"
)

// Freshness is what a reader asks for.
type Freshness struct {
	Local        bool          // what this node knows, however old
	MaxStaleness time.Duration // at most so old; 0 is linearizable
}

// ErrNotFresh means that this node can't prove in time that it knows what the
// reader asked for. The reader may ask again, here or at another node.
var ErrNotFresh = errors.New("freshness can't be proven now")

const proveTimeout = 2 * time.Second

// freshnessProof says that this node knew all that was committed at a time.
type freshnessProof struct {
	index uint64 // the last entry committed by then
	at    time.Time
}

// prover proves freshness by asking the leader for its commit index, which counts
// if a majority still follows it (the read index of Raft, section 6.4). Those who
// ask while a round is on its way share the next one: only a round that began
// after a reader came proves anything to it.
type prover struct {
	readIndex func(context.Context) (index uint64, err error)

	mu      sync.Mutex
	running bool
	next    *proofRound
}

type proofRound struct {
	done  chan struct{}
	proof freshnessProof
	err   error
}

// prove gives a proof that is younger than the call.
func (p *prover) prove(ctx context.Context) (freshnessProof, error) {
	p.mu.Lock()
	if p.next == nil {
		p.next = &proofRound{done: make(chan struct{})}
	}
	r := p.next
	if !p.running {
		p.running = true
		go p.run()
	}
	p.mu.Unlock()
	select {
	case <-r.done:
		return r.proof, r.err
	case <-ctx.Done():
		return freshnessProof{}, ctx.Err()
	}
}

// run carries out rounds, until nobody waits for one.
func (p *prover) run() {
	for {
		p.mu.Lock()
		r := p.next
		p.next = nil
		if r == nil {
			p.running = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), proveTimeout)
		r.proof.at = time.Now()
		r.proof.index, r.err = p.readIndex(ctx)
		cancel()
		close(r.done)
	}
}

// ReadIndex is the last entry that was committed when this was called, if a
// majority still takes this node for the leader after it was read.
func (s *Store) ReadIndex(ctx context.Context) (uint64, error) {
	l, err := s.running()
	if err != nil {
		return 0, err
	}
	term := l.raft.CurrentTerm()
	if !l.isLeader() {
		return 0, ErrNoLeader
	}
	// Guards against a leader that is new: until an entry of its own term is
	// committed, it doesn't know how far its predecessors had come.
	if l.barrierTerm.Load() != term {
		if err := awaitFuture(ctx, l.raft.Barrier(storeapi.CommitTimeout)); err != nil {
			return 0, fmt.Errorf("first entry of term %d: %w", term, err)
		}
		if l.raft.CurrentTerm() != term {
			return 0, ErrNoLeader
		}
		l.barrierTerm.Store(term)
	}
	index, asked := l.raft.CommitIndex(), time.Now()
	if err := awaitFuture(ctx, l.raft.VerifyLeader()); err != nil { // has its peers asked at once
		return 0, err
	}
	conf, _ := l.configuration()
	if err := l.transport.awaitMajority(ctx, raft.ServerID(l.memberID), conf, term, asked, l.isLeader); err != nil {
		return 0, fmt.Errorf("most voters' answers: %w", err)
	}
	if l.raft.CurrentTerm() != term {
		return 0, ErrNoLeader
	}
	return index, nil
}

// awaitFuture waits for what Raft was asked to do. Raft never answers once its disk has failed
// under it.
func awaitFuture(ctx context.Context, f raft.Future) error {
	out := make(chan error, 1)
	go func() { out <- f.Error() }()
	select {
	case err := <-out:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// committedIndex asks whoever leads for its read index.
func (s *Store) committedIndex(ctx context.Context) (uint64, error) {
	if s.IsLeader() {
		return s.ReadIndex(ctx)
	}
	p, _, ok := s.Leader()
	if !ok || p.Name == s.self.Name {
		if _, err := s.running(); err != nil {
			return 0, err
		}
		return 0, ErrNoLeader
	}
	var at storeapi.ReadIndexResponse
	err := s.peers.client.WithLongTimeout().CallNode(ctx, p.Admin, http.MethodGet, "/index", nil, &at)
	return at.Index, err
}

// WaitFresh waits until this node knows what the reader asked for, and gives the age of
// what it knows.
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
	p, err := s.readProver.prove(ctx)
	if err == nil {
		err = s.waitApplied(ctx, p.index)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotFresh, err)
	}
	s.freshMu.Lock()
	if p.at.After(s.freshAt) {
		s.freshAt = p.at
	}
	s.freshMu.Unlock()
	return time.Since(p.at), nil
}

// lastFresh is a time at which this node knew all that was committed.
func (s *Store) lastFresh() time.Time {
	s.freshMu.Lock()
	defer s.freshMu.Unlock()
	return s.freshAt
}

// waitApplied waits until the state holds all entries up to an index. Raft counts an
// entry as applied when it hands it on, and hands on commands only, so the state's
// own count is what matters, up to the last command.
func (s *Store) waitApplied(ctx context.Context, index uint64) error {
	for {
		l, err := s.running()
		if err != nil {
			return err
		}
		done, moved := s.state.progress()
		if done >= index || l.raft.AppliedIndex() >= index && !l.hasCommand(done+1, index) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("at entry %d, waiting for %d: %w", done, index, ctx.Err())
		case <-moved:
		case <-time.After(time.Millisecond):
		}
	}
}

// hasCommand tells whether the log has a command in a range that the state may not
// have yet. What the log has no more was in the state before it was cut off.
func (l *incarnation) hasCommand(from, to uint64) bool {
	var e raft.Log
	for i := to; i >= from; i-- {
		switch err := l.storage.GetLog(i, &e); {
		case errors.Is(err, raft.ErrLogNotFound):
			return false
		case err != nil || e.Type == raft.LogCommand:
			return true
		}
	}
	return false
}
