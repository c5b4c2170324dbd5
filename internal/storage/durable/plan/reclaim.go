package plan

const (
	// reclaimStepBytes is the budget of one step when all space is reclaimed.
	reclaimStepBytes = 1 << 20
	// minReclaimSegmentBytes: shorter segments are left alone.
	minReclaimSegmentBytes = 4 << 10
	// minReclaimDivisor: segments with less dead data than this part of their length
	// are left alone.
	minReclaimDivisor = 8
)

// reclaimStep reclaims all space: every segment with dead data is compacted, and two
// checkpoints let go of what is dead.
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

// worthReclaiming: compaction of the segment reclaims more than it costs to rewrite it.
func worthReclaiming(s Segment) bool {
	return s.LiveValues > 0 && !s.Unreadable && s.deadBytes() > s.Bytes/minReclaimDivisor && s.Bytes > minReclaimSegmentBytes
}
