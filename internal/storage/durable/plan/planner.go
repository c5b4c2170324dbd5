package plan

import "time"

const (
	// idleDelay is the time between two decisions when there is nothing to do.
	idleDelay = 100 * time.Millisecond
	// minBudgetDelay bounds the wait for the budget from below.
	minBudgetDelay = time.Millisecond
)

// Planner decides on the steps of maintenance and accounts for their budget. Set
// Limits and leave the rest zero.
type Planner struct {
	Limits      Limits
	budgetBytes float64       // may be spent now; below 0 after a step that spent more
	started     bool          // a decision was made before
	lastTime    time.Duration // State.Now of the last decision
	lastSeq     uint64        // State.Seq of the last decision
	idleSince   time.Duration // the first State.Now with that Seq
	restUntil   time.Duration // State.Now at which the rest after a failure ends
}

// Charge takes the bytes that a step wrote and read from the budget.
func (p *Planner) Charge(bytes int64) { p.budgetBytes -= float64(bytes) }

// Next decides on the next step, the first of these that is due: flush, rest after a
// failure, drop a segment, continue the running task within the budget, checkpoint,
// compact, restore the reserve. With State.ReclaimAll neither the budget nor the
// tolerated garbage counts.
func (p *Planner) Next(s State) Step {
	l := &p.Limits
	rate := l.Rate(s.Space)
	p.advance(s, rate)
	if s.HasUnsynced && (s.ReclaimAll || s.Now-s.UnsyncedSince >= l.MaxUnsyncedAge) {
		return Step{Kind: Flush}
	}
	if s.Now < p.restUntil && !s.ReclaimAll {
		return Step{Delay: min(p.restUntil-s.Now, idleDelay)}
	}
	if n, ok := s.droppableSegment(); ok {
		return Step{Kind: DropSegment, Segment: n}
	}
	if s.ReclaimAll {
		return reclaimStep(s)
	}
	if s.Task != NoTask {
		return p.taskStep(rate)
	}
	if l.checkpointDue(s, s.Now-p.idleSince >= l.IdleCheckpointDelay) {
		return Step{Kind: BeginCheckpoint}
	}
	if n, ok := l.compactionCandidate(s); ok {
		return Step{Kind: BeginCompaction, Segment: n}
	}
	if s.ReserveMissing {
		space := s.Space
		space.ReserveReleased = false
		if l.Admits(space, 0, true) {
			return Step{Kind: RestoreReserve}
		}
	}
	return Step{Delay: idleDelay}
}

// advance brings the budget and the times up to the state's. The budget grows at the
// rate (bytes per second), up to Limits.MaxStepBytes.
func (p *Planner) advance(s State, rate float64) {
	if p.started {
		p.budgetBytes = min(p.budgetBytes+rate*(s.Now-p.lastTime).Seconds(), float64(p.Limits.MaxStepBytes))
	}
	if !p.started || s.Seq != p.lastSeq {
		p.lastSeq = s.Seq
		p.idleSince = s.Now
	}
	p.started = true
	p.lastTime = s.Now
	if s.LastStepFailed {
		p.restUntil = s.Now + p.Limits.RetryDelay
	}
}

// minTaskBudgetDivisor is the part of Limits.MaxStepBytes that the budget must have
// for a task to continue, so that steps are not tiny.
const minTaskBudgetDivisor = 2

// taskStep continues the running task, or waits until the budget allows it. The rate
// is in bytes per second.
func (p *Planner) taskStep(rate float64) Step {
	required := float64(p.Limits.MaxStepBytes) / minTaskBudgetDivisor
	if p.budgetBytes >= required {
		return Step{Kind: ContinueTask, BudgetBytes: p.Limits.MaxStepBytes}
	}
	missingSeconds := (required - p.budgetBytes) / rate
	delay := time.Duration(missingSeconds * float64(time.Second))
	return Step{Delay: min(max(delay, minBudgetDelay), idleDelay)}
}

const (
	// idleCheckpointLogDivisor and idleCheckpointLiveDivisor are the parts of
	// MinCheckpointLogBytes and of the live data; with that much log and droppable data
	// a checkpoint is due while the store is idle.
	idleCheckpointLogDivisor  = 16
	idleCheckpointLiveDivisor = 20
	// pendingDropLogDivisor is the part of MinCheckpointLogBytes from which on data that
	// only waits for a checkpoint to be dropped makes one due.
	pendingDropLogDivisor = 4
)

// checkpointDue reports whether a checkpoint is due: the log after the last one is
// long, or the store is idle and there is something to gain, or much data waits for a
// checkpoint to be dropped.
func (l *Limits) checkpointDue(s State, idle bool) bool {
	if s.Seq <= s.OlderCheckpointSeq {
		return false // both checkpoints cover the whole log
	}
	lengthDue := int64(l.CheckpointLogRatio * float64(s.Space.CheckpointBytes))
	if s.LogBytesSinceCheckpoint >= max(l.MinCheckpointLogBytes, lengthDue) {
		return true
	}
	pending := s.pendingDropBytes()
	idleDue := max(l.MinCheckpointLogBytes/idleCheckpointLogDivisor, s.Space.LiveBytes/idleCheckpointLiveDivisor)
	if idle && s.LogBytesSinceCheckpoint+pending >= idleDue {
		return true // no write is delayed, and the next start replays less
	}
	pendingDue := int64(l.PendingDropRatio * float64(s.Space.LiveBytes))
	return pending >= max(l.MinCheckpointLogBytes/pendingDropLogDivisor, pendingDue)
}

// minGainDivisor is the part of GarbageRatio that the ratio of dead to live data in a
// segment must exceed for a compaction of it.
const minGainDivisor = 4

// compactionCandidate finds the segment with the most dead data for each live byte
// that compaction would move, if there is more dead data than is tolerated.
func (l *Limits) compactionCandidate(s State) (number uint32, ok bool) {
	var dead int64
	bestGain := 0.0
	for _, segment := range s.Segments {
		if !segment.Sealed || segment.LiveValues == 0 {
			continue
		}
		dead += segment.deadBytes()
		gain := float64(segment.deadBytes()) / float64(segment.LiveBytes+1)
		if gain > bestGain && !segment.Unreadable {
			number = segment.Number
			bestGain = gain
		}
	}
	tolerated := int64(l.GarbageRatio*float64(s.Space.LiveBytes)) + l.MinSegmentBytes
	return number, number != 0 && dead > tolerated && bestGain > l.GarbageRatio/minGainDivisor
}
