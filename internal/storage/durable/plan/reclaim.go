package plan

const (
	// reclaimStepBytes is the budget of one step when all space is reclaimed.
	reclaimStepBytes = 1 << 20
	// minReclaimSegmentBytes is the length up to which a segment is not rewritten.
	minReclaimSegmentBytes = 4 << 10
	// minReclaimDivisor is the part of its length that a segment must have as dead data
	// to be rewritten.
	minReclaimDivisor = 8
)

// reclaimStep reclaims all space: every segment with dead data is compacted, and two
// checkpoints release what is dead.
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
		return Step{Kind: BeginCompaction, Segment: segment.Number}
	}
	if n := len(s.Segments); n > 0 {
		active := s.Segments[n-1]
		if !active.Sealed && active.LiveValues == 0 && active.Bytes > minReclaimSegmentBytes {
			return Step{Kind: SealSegment}
		}
	}
	if s.Seq > s.OlderCheckpointSeq {
		return Step{Kind: BeginCheckpoint}
	}
	if s.ReserveMissing {
		return Step{Kind: RestoreReserve}
	}
	return Step{Delay: idleDelay}
}

// worthReclaiming reports whether a segment has enough dead data, beside live values,
// to be rewritten.
func worthReclaiming(s Segment) bool {
	return s.LiveValues > 0 && !s.Unreadable && s.deadBytes() > s.Bytes/minReclaimDivisor && s.Bytes > minReclaimSegmentBytes
}
