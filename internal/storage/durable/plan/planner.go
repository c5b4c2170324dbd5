package plan

import "time"

const (
	// idleDelay is the time between two decisions when there is nothing to do.
	idleDelay = 100 * time.Millisecond
	// minBudgetDelay bounds the wait for the budget from below.
	minBudgetDelay = time.Millisecond
)

// Planner decides, and holds the budget between two steps. Its zero value but for
// Limits is ready.
type Planner struct {
	Limits      Limits
	budgetBytes float64 // below 0 after a step that took more than it was given
	started     bool
	lastTime    time.Duration // of the last decision
	restUntil   time.Duration // after a failure
	lastSeq     uint64        // of the last decision
	idleSince   time.Duration // since when that is the last batch
}

// Charge takes the bytes that a step wrote and read from the budget.
func (p *Planner) Charge(bytes int64) { p.budgetBytes -= float64(bytes) }

// Next decides on the next step. In this order: flush, rest after a failure, drop,
// go on with a task as far as the budget goes, checkpoint, compact, restore the
// reserve. To reclaim all space, the budget and the tolerance of garbage don't count.
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

// advance brings the budget and the times up to the state's. The budget grows at
// the rate, up to one step's worth.
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

// taskStep goes on with the running task once the budget is half a step's worth.
func (p *Planner) taskStep(rate float64) Step {
	required := float64(p.Limits.MaxStepBytes) / 2
	if p.budgetBytes >= required {
		return Step{Kind: ContinueTask, BudgetBytes: p.Limits.MaxStepBytes}
	}
	missingSeconds := (required - p.budgetBytes) / rate
	delay := time.Duration(missingSeconds * float64(time.Second))
	return Step{Delay: min(max(delay, minBudgetDelay), idleDelay)}
}

const (
	// idleCheckpointLogDivisor and idleCheckpointLiveDivisor: when the store is idle,
	// a checkpoint is due at these parts of MinCheckpointLogBytes and the live data.
	idleCheckpointLogDivisor  = 16
	idleCheckpointLiveDivisor = 20
	// pendingDropLogDivisor: data that only waits for a checkpoint makes one due from
	// this part of MinCheckpointLogBytes on.
	pendingDropLogDivisor = 4
)

func (l *Limits) checkpointDue(s State, idle bool) bool {
	if s.Seq <= s.OlderCheckpointSeq {
		return false // both checkpoints have all there is
	}
	lengthDue := int64(l.CheckpointLogRatio * float64(s.Space.CheckpointBytes))
	if s.LogBytesSinceCheckpoint >= max(l.MinCheckpointLogBytes, lengthDue) {
		return true
	}
	pending := s.pendingDropBytes()
	idleDue := max(l.MinCheckpointLogBytes/idleCheckpointLogDivisor, s.Space.LiveBytes/idleCheckpointLiveDivisor)
	if idle && s.LogBytesSinceCheckpoint+pending >= idleDue {
		return true // it delays nobody now, and makes the next start short
	}
	pendingDue := int64(l.PendingDropRatio * float64(s.Space.LiveBytes))
	return pending >= max(l.MinCheckpointLogBytes/pendingDropLogDivisor, pendingDue)
}

// minGainDivisor: the best segment must have this part of GarbageRatio as dead data.
const minGainDivisor = 4

// compactionCandidate is the segment whose compaction reclaims the most space for
// what it moves, if there is more dead data than is tolerated.
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
