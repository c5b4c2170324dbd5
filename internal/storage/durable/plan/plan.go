package plan

import "time"

// Segment is one segment of the log.
type Segment struct {
	Number     uint32
	Bytes      int64
	LiveBytes  int64  // bytes of the values that the index points to here
	LiveValues int64  // how many they are
	EmptiedSeq uint64 // the batch that took its last live value
	Sealed     bool
	Unreadable bool // compaction met damage in it
}

// Task is what upkeep has begun and not ended.
type Task int

const (
	NoTask Task = iota
	Checkpointing
	Compacting
)

// Facts are all that a decision rests on.
type State struct {
	Now                     time.Duration // since any fixed moment
	Segments                []Segment     // in the order of their numbers
	Seq                     uint64        // the last batch
	OlderCheckpointSeq      uint64        // of the older of the two checkpoints; 0 if there is none
	OlderCheckpointSegment  uint32        // where the log behind it begins
	OldestSnapshotSeq       uint64        // of those that are open; Seq if none is
	UnsyncedSince           time.Duration // when the oldest buffered write came
	HasUnsynced             bool
	LogBytesSinceCheckpoint int64 // bytes of log after the newest checkpoint
	Space                   Space
	Task                    Task
	LastStepFailed          bool // the last step failed, since Now of the one before
	ReserveMissing          bool
	ReclaimAll              bool // an operator wants all space back now
}

// Kind is what to do.
type StepKind int

const (
	Idle StepKind = iota
	Flush
	DropSegment // Segment's file
	ContinueTask
	RestoreReserve
	SealSegment
	BeginCheckpoint
	BeginCompaction // of Segment
)

func (k StepKind) String() string {
	return [...]string{"wait", "flush", "drop", "continue", "restore reserve", "seal", "begin checkpoint", "begin compaction"}[k]
}

// Step is one decision. Wait is how long to rest before the next, whatever the kind.
type Step struct {
	Kind        StepKind
	Segment     uint32
	BudgetBytes int64 // that Continue may write and read
	Delay       time.Duration
}

const (
	idle     = 100 * time.Millisecond // between two looks when nothing is to do
	mostRate = 16                     // times Limits.Rate
	slope    = 8                      // by how many times Rate grows, for each target that the folder is over
)

// Planner holds the budget between two steps. Its zero value but for Limits is ready.
type Planner struct {
	Limits Limits
	tokens float64 // bytes; below 0 after a step that took more than it was given
	last   time.Duration
	rest   time.Duration // until when to rest after a failure
	began  bool
	seq    uint64        // of the facts before
	quiet  time.Duration // since when that is the last batch
}

// Target is how long the folder should be for what is in it.
func (l Limits) TargetBytes(s Space) int64 {
	return s.LiveBytes + int64(float64(s.LiveBytes)*(l.GarbageRatio+l.PendingDropRatio)) + 2*s.CheckpointBytes + 2*l.SegmentBytes(s.LiveBytes) + l.MinCheckpointLogBytes
}

// RateOf is the budget in bytes per second: the base rate, raised as the folder
// outgrows its target or nears its bound.
func (l Limits) Rate(s Space) float64 {
	over := max(float64(s.UsedBytes)/float64(l.TargetBytes(s))-1, (float64(s.UsedBytes)/float64(l.MaxBytes)-0.75)*4, 0)
	return float64(l.BytesPerSecond) * min(1+slope*over, mostRate)
}

// Spend tells what a step really took.
func (p *Planner) Charge(bytes int64) { p.tokens -= float64(bytes) }

// Next decides.
func (p *Planner) Next(f State) Step {
	l := &p.Limits
	rate := l.Rate(f.Space)
	if p.began {
		p.tokens = min(p.tokens+rate*(f.Now-p.last).Seconds(), float64(l.MaxStepBytes))
	}
	if !p.began || f.Seq != p.seq {
		p.seq, p.quiet = f.Seq, f.Now
	}
	p.began, p.last = true, f.Now
	if f.LastStepFailed {
		p.rest = f.Now + l.RetryDelay
	}
	if f.HasUnsynced && (f.ReclaimAll || f.Now-f.UnsyncedSince >= l.MaxUnsyncedAge) {
		return Step{Kind: Flush}
	}
	if f.Now < p.rest && !f.ReclaimAll {
		return Step{Delay: min(p.rest-f.Now, idle)}
	}
	if n, ok := droppable(f); ok {
		return Step{Kind: DropSegment, Segment: n}
	}
	if f.ReclaimAll {
		return eager(f)
	}
	if f.Task != NoTask {
		if p.tokens < float64(l.MaxStepBytes)/2 {
			short := (float64(l.MaxStepBytes)/2 - p.tokens) / rate
			return Step{Delay: min(max(time.Duration(short*float64(time.Second)), time.Millisecond), idle)}
		}
		return Step{Kind: ContinueTask, BudgetBytes: l.MaxStepBytes}
	}
	if l.checkpointDue(f, f.Now-p.quiet >= l.IdleCheckpointDelay) {
		return Step{Kind: BeginCheckpoint}
	}
	if n, ok := l.worst(f); ok {
		return Step{Kind: BeginCompaction, Segment: n}
	}
	if room := f.Space; f.ReserveMissing {
		room.ReserveReleased = false
		if l.Admits(room, 0, true) {
			return Step{Kind: RestoreReserve}
		}
	}
	return Step{Delay: idle}
}

// eager gives all space back: everything sealed that holds dead data is compacted,
// and two checkpoints let go of what is dead.
func eager(f State) Step {
	if f.Task != NoTask {
		return Step{Kind: ContinueTask, BudgetBytes: 1 << 20}
	}
	for _, s := range f.Segments {
		if s.LiveValues > 0 && !s.Unreadable && s.Bytes-s.LiveBytes > s.Bytes/8 && s.Bytes > 4<<10 {
			if !s.Sealed {
				return Step{Kind: SealSegment}
			}
			return Step{Kind: BeginCompaction, Segment: s.Number}
		}
	}
	if n := len(f.Segments); n > 0 && !f.Segments[n-1].Sealed && f.Segments[n-1].LiveValues == 0 && f.Segments[n-1].Bytes > 4<<10 {
		return Step{Kind: SealSegment}
	}
	if f.Seq > f.OlderCheckpointSeq {
		return Step{Kind: BeginCheckpoint}
	}
	if f.ReserveMissing {
		return Step{Kind: RestoreReserve}
	}
	return Step{Delay: idle}
}

// droppable finds a segment that neither the index, nor a checkpoint that is kept
// with the log behind it, nor an open snapshot needs.
func droppable(f State) (uint32, bool) {
	for _, s := range f.Segments {
		if s.Sealed && s.LiveValues == 0 && s.Number < f.OlderCheckpointSegment && s.EmptiedSeq <= f.OlderCheckpointSeq && s.EmptiedSeq <= f.OldestSnapshotSeq {
			return s.Number, true
		}
	}
	return 0, false
}

// waiting is how many bytes checkpoints alone would let go of.
func waiting(f State) (sum int64) {
	for _, s := range f.Segments {
		if s.Sealed && s.LiveValues == 0 && s.EmptiedSeq <= f.OldestSnapshotSeq {
			sum += s.Bytes
		}
	}
	return sum
}

func (l *Limits) checkpointDue(f State, quiet bool) bool {
	if f.Seq <= f.OlderCheckpointSeq {
		return false // both have all there is
	}
	if f.LogBytesSinceCheckpoint >= max(l.MinCheckpointLogBytes, int64(l.CheckpointLogRatio*float64(f.Space.CheckpointBytes))) {
		return true
	}
	if quiet && f.LogBytesSinceCheckpoint+waiting(f) >= max(l.MinCheckpointLogBytes/16, f.Space.LiveBytes/20) {
		return true // it costs nobody anything now, and makes the next start short
	}
	return waiting(f) >= max(l.MinCheckpointLogBytes/4, int64(l.PendingDropRatio*float64(f.Space.LiveBytes)))
}

// worst is the segment whose compaction gives the most space for what it moves, if
// there is more dead data than is let be.
func (l *Limits) worst(f State) (uint32, bool) {
	var dead int64
	best, gain := uint32(0), 0.0
	for _, s := range f.Segments {
		if !s.Sealed || s.LiveValues == 0 {
			continue
		}
		dead += s.Bytes - s.LiveBytes
		if g := float64(s.Bytes-s.LiveBytes) / float64(s.LiveBytes+1); g > gain && !s.Unreadable {
			best, gain = s.Number, g
		}
	}
	enough := int64(l.GarbageRatio*float64(f.Space.LiveBytes)) + l.MinSegmentBytes
	return best, best != 0 && dead > enough && gain > l.GarbageRatio/4
}
