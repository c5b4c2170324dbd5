package plan

import "time"

const (
	// idleDelay is the time until the next decision when no step is due.
	idleDelay = 100 * time.Millisecond
	// minBudgetDelay is the minimum wait for the budget to grow.
	minBudgetDelay = time.Millisecond
)

// Planner decides on maintenance steps and accounts for their I/O budget. Set Limits;
// the zero values of the other fields are ready to use.
type Planner struct {
	Limits      Limits
	budgetBytes float64       // current budget; negative after a step that exceeded it
	started     bool          // a decision was made before
	lastTime    time.Duration // State.Now of the last decision
	lastSeq     uint64        // State.Seq of the last decision
	idleSince   time.Duration // the first State.Now with lastSeq
	retryAt     time.Duration // State.Now at which the delay after a failed step ends
}

// Charge subtracts the bytes that a step read and wrote from the budget.
func (p *Planner) Charge(bytes int64) { p.budgetBytes -= float64(bytes) }

// Next returns the next step. It is the first of these that is due: flush, wait after a
// failure, drop a segment, continue the running task within the budget, checkpoint,
// compact, restore the reserve. With State.ReclaimAll the budget, the delay after a
// failure and the tolerated dead data are ignored.
func (p *Planner) Next(s State) Step {
	l := &p.Limits
	rate := l.Rate(s.Space)
	p.advance(s, rate)
	if s.HasUnsynced && (s.ReclaimAll || s.Now-s.UnsyncedSince >= l.MaxUnsyncedAge) {
		return Step{Kind: Flush}
	}
	if s.Now < p.retryAt && !s.ReclaimAll {
		return Step{Delay: min(p.retryAt-s.Now, idleDelay)}
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
		return Step{Kind: StartCheckpoint}
	}
	if n, ok := l.compactionCandidate(s); ok {
		return Step{Kind: StartCompaction, Segment: n}
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

// advance updates the budget and the times to State.Now. The budget grows at the rate,
// in bytes per second, up to Limits.MaxStepBytes.
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
		p.retryAt = s.Now + p.Limits.RetryDelay
	}
}

// minTaskBudgetDivisor: a task continues when the budget is at least
// Limits.MaxStepBytes divided by this, which avoids very small steps.
const minTaskBudgetDivisor = 2

// taskStep returns a step that continues the running task, or one that waits until the
// budget suffices. The rate is in bytes per second.
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
	// idleCheckpointLogDivisor and idleCheckpointLiveDivisor divide
	// MinCheckpointLogBytes and the live data. While the store is idle, a checkpoint is
	// due when the log since the last checkpoint plus the data waiting to be dropped
	// reach the larger of the quotients.
	idleCheckpointLogDivisor  = 16
	idleCheckpointLiveDivisor = 20
	// pendingDropLogDivisor divides MinCheckpointLogBytes. The quotient is the minimum
	// of data waiting to be dropped at which a checkpoint is due.
	pendingDropLogDivisor = 4
)

// checkpointDue reports whether a checkpoint is due: the log since the last checkpoint
// is long, or the store is idle and a checkpoint shortens the next replay or frees
// space, or much data can't be dropped before a checkpoint.
func (l *Limits) checkpointDue(s State, idle bool) bool {
	if s.Seq <= s.OlderCheckpointSeq {
		return false // both checkpoints cover all batches
	}
	lengthThreshold := int64(l.CheckpointLogRatio * float64(s.Space.CheckpointBytes))
	if s.LogBytesSinceCheckpoint >= max(l.MinCheckpointLogBytes, lengthThreshold) {
		return true
	}
	pending := s.pendingDropBytes()
	idleThreshold := max(l.MinCheckpointLogBytes/idleCheckpointLogDivisor, s.Space.LiveBytes/idleCheckpointLiveDivisor)
	if idle && s.LogBytesSinceCheckpoint+pending >= idleThreshold {
		return true // a checkpoint delays no writes now, and the next start replays less
	}
	pendingThreshold := int64(l.PendingDropRatio * float64(s.Space.LiveBytes))
	return pending >= max(l.MinCheckpointLogBytes/pendingDropLogDivisor, pendingThreshold)
}

// minGainDivisor: a segment is compacted only if its ratio of dead to live data exceeds
// GarbageRatio divided by this.
const minGainDivisor = 4

// compactionCandidate returns the segment with the highest ratio of dead to live data,
// if the dead data of all segments exceeds the tolerated amount.
func (l *Limits) compactionCandidate(s State) (number uint32, ok bool) {
	var dead int64
	bestRatio := 0.0
	for _, segment := range s.Segments {
		if !segment.Sealed || segment.LiveValues == 0 {
			continue
		}
		dead += segment.deadBytes()
		gain := float64(segment.deadBytes()) / float64(segment.LiveBytes+1)
		if gain > bestRatio && !segment.Unreadable {
			number = segment.Number
			bestRatio = gain
		}
	}
	tolerated := int64(l.GarbageRatio*float64(s.Space.LiveBytes)) + l.MinSegmentBytes
	return number, number != 0 && dead > tolerated && bestRatio > l.GarbageRatio/minGainDivisor
}
