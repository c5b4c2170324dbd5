package durable

import (
	"cmp"
	"slices"
	"time"

	"oxbowbridge/internal/storage/durable/plan"
)

// planState returns the state for the planner.
func (m *maintainer) planState() plan.State {
	s := m.store
	state := plan.State{
		Now:                     m.now(),
		LogBytesSinceCheckpoint: s.logBytesSinceCheckpoint.Load(),
		Space:                   s.space(),
		LastStepFailed:          m.lastStepFailed,
		ReserveMissing:          !s.reserveOnDisk.Load(),
	}
	if since := s.unsyncedSince.Load(); since != 0 {
		state.HasUnsynced = true
		state.UnsyncedSince = time.Duration(since)
	}
	switch {
	case m.checkpoint != nil:
		state.Task = plan.Checkpointing
	case m.compaction != nil:
		state.Task = plan.Compacting
	}
	s.manifestMu.Lock()
	olderCheckpoint := s.manifest.checkpoints[0]
	s.manifestMu.Unlock()
	state.OlderCheckpointSeq = olderCheckpoint.seq
	state.OlderCheckpointSegment = olderCheckpoint.segment
	s.addIndexState(&state)
	return state
}

// addIndexState adds the snapshots and segments to the state.
func (s *Store) addIndexState(state *plan.State) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state.Seq = s.seq
	state.OldestSnapshotSeq = s.seq
	for snapshot := range s.snapshots {
		state.OldestSnapshotSeq = min(state.OldestSnapshotSeq, snapshot.seq)
	}
	for _, segment := range s.index.segments {
		state.Segments = append(state.Segments, plan.Segment{
			Number:     segment.number,
			Bytes:      segment.size,
			LiveBytes:  segment.liveBytes,
			LiveValues: segment.liveValues,
			EmptiedSeq: segment.emptiedSeq,
			Sealed:     segment.sealed,
			Unreadable: segment.unreadable,
		})
	}
	slices.SortFunc(state.Segments, func(a, b plan.Segment) int { return cmp.Compare(a.Number, b.Number) })
}
