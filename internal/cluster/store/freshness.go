package store

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

// Freshness is what a reader asks for. The zero value is a linearizable read, that is, one behind the
// leader's read index.
type Freshness struct {
	Local        bool          // this node's state, however old
	MaxStaleness time.Duration // at most so old; 0 is linearizable
}

const (
	// readIndexTimeout bounds one request for the read index, and the wait until the state has it.
	readIndexTimeout = 2 * time.Second
	// appliedPollInterval is how often a reader checks whether entries that are no commands have moved
	// Raft's applied index.
	appliedPollInterval = time.Millisecond
)

// WaitFresh waits until this node's state is as fresh as the reader asks, and returns the age of that
// state: 0 for a Local read, whose age is not known. Its error is ErrNotFresh, with the cause.
func (s *Store) WaitFresh(ctx context.Context, f Freshness) (age time.Duration, err error) {
	if f.Local {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readIndexTimeout)
	defer cancel()
	if f.MaxStaleness > 0 {
		if at := s.lastFresh(); !at.IsZero() && time.Since(at) <= f.MaxStaleness {
			return time.Since(at), nil
		}
	}
	confirmed, err := s.readIndex.await(ctx)
	if err == nil {
		err = s.waitApplied(ctx, confirmed.index)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotFresh, err)
	}
	s.recordFresh(confirmed.at)
	return time.Since(confirmed.at), nil
}

// lastFresh is the latest time at which the state is known to have had all that was committed; zero if
// there was none.
func (s *Store) lastFresh() time.Time {
	s.freshMu.Lock()
	defer s.freshMu.Unlock()
	return s.freshAt
}

func (s *Store) recordFresh(at time.Time) {
	s.freshMu.Lock()
	defer s.freshMu.Unlock()
	if at.After(s.freshAt) {
		s.freshAt = at
	}
}

// waitApplied waits until the state holds all commands up to an index. The state's own index stands
// still at entries that are no commands, and Raft's applied index runs ahead of the state: it counts
// entries that were handed to the state machine and are not applied yet. The state is complete if
// Raft's index is there and the log has no command between the two.
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
		case <-time.After(appliedPollInterval):
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
