package plan

const (
	// reclaimStepBytes is the budget of one step with State.ReclaimAll.
	reclaimStepBytes = 1 << 20
	// minReclaimSegmentBytes is the length up to which a segment is not compacted.
	minReclaimSegmentBytes = 4 << 10
	// minReclaimDivisor: a segment is compacted only if its dead data exceeds its length
	// divided by this.
	minReclaimDivisor = 8
)

// reclaimStep returns the next step with State.ReclaimAll. Every segment with enough dead
// data (see worthReclaiming) is compacted, and after two checkpoints the dead segments
// can be dropped.
func reclaimStep(s State) Step {
	if s.Task != NoTask {
		return Step{Kind: ContinueTask, BudgetBytes: reclaimStepBytes}
	}
	for _, segment := range s.Segments {
		if !worthReclaiming(segment) {
			continue
		}
		if !segment.Sealed {
			return Step{Kind: SealSegment}
		}
		return Step{Kind: StartCompaction, Segment: segment.Number}
	}
	if n := len(s.Segments); n > 0 {
		active := s.Segments[n-1]
		if !active.Sealed && active.LiveValues == 0 && active.Bytes > minReclaimSegmentBytes {
			return Step{Kind: SealSegment}
		}
	}
	if s.Seq > s.OlderCheckpointSeq {
		return Step{Kind: StartCheckpoint}
	}
	if s.ReserveMissing {
		return Step{Kind: RestoreReserve}
	}
	return Step{Delay: idleDelay}
}

// worthReclaiming reports whether a segment has live values and enough dead data to be
// compacted.
func worthReclaiming(s Segment) bool {
	return s.LiveValues > 0 && !s.Unreadable && s.deadBytes() > s.Bytes/minReclaimDivisor && s.Bytes > minReclaimSegmentBytes
}
