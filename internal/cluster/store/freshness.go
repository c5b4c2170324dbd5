package store

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

// Freshness is how recent a reader requires the state to be. The zero value is a linearizable read, that
// is, a read at or after the leader's read index.
type Freshness struct {
	Local        bool          // read this node's state regardless of its age
	MaxStaleness time.Duration // maximum age of the state; 0 means linearizable
}

const (
	// readIndexTimeout bounds one read index request, including the wait until the index is applied.
	readIndexTimeout = 2 * time.Second
	// appliedPollInterval is how often a reader polls Raft's applied index, which also advances at entries
	// that are not commands.
	appliedPollInterval = time.Millisecond
)

// WaitFresh waits until this node's state is as recent as required, and returns the age of the state. The
// age is 0 for a Local read, for which it is unknown. Its error is ErrNotFresh with the cause.
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

// lastFresh returns the latest time at which the state is known to have included all committed entries, or
// zero if there is none.
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

// waitApplied waits until the state includes all commands up to an index. The state's own index does not
// advance at entries that are not commands, so that it may never reach the given index. Raft's applied
// index may be ahead of the state, as it counts entries that were passed to the state machine and are not
// applied yet. The state is complete if its own index has reached the given index, or if Raft's index has
// reached it and the log has no command between the two.
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

// awaitFuture waits for the result of a Raft future or the end of ctx. After a disk failure Raft may never
// complete the future.
func awaitFuture(ctx context.Context, future raft.Future) error {
	result := make(chan error, 1)
	go func() { result <- future.Error() }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
