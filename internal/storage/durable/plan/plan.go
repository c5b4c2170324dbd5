package plan

import "time"

// Segment is one segment of the log.
type Segment struct {
	Number     uint32
	Bytes      int64
	Live       int64  // bytes of the values that the index points to here
	Refs       int64  // how many they are
	DeadSince  uint64 // the batch that took its last live value
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
type Facts struct {
	Now            time.Duration // since any fixed moment
	Segments       []Segment     // in the order of their numbers
	Seq            uint64        // the last batch
	OlderSeq       uint64        // of the older of the two checkpoints; 0 if there is none
	OlderSegment   uint32        // where the log behind it begins
	OldestSnapshot uint64        // of those that are open; Seq if none is
	UnsyncedSince  time.Duration // when the oldest buffered write came
	Unsynced       bool
	LogBehind      int64 // bytes of log after the newest checkpoint
	Space          Space
	Task           Task
	Failed         bool // the last step failed, since Now of the one before
	ReserveMissing bool
	Eager          bool // an operator wants all space back now
}

// Kind is what to do.
type Kind int

const (
	Wait Kind = iota
	Flush
	Drop // Segment's file
	Continue
	RestoreReserve
	Seal
	BeginCheckpoint
	BeginCompaction // of Segment
)

func (k Kind) String() string {
	return [...]string{"wait", "flush", "drop", "continue", "restore reserve", "seal", "begin checkpoint", "begin compaction"}[k]
}

// Step is one decision. Wait is how long to rest before the next, whatever the kind.
type Step struct {
	Kind    Kind
	Segment uint32
	Bytes   int64 // that Continue may write and read
	Wait    time.Duration
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
func (l Limits) Target(s Space) int64 {
	return s.Live + int64(float64(s.Live)*(l.GarbageShare+l.WaitingShare)) + 2*s.Checkpoint + 2*l.SealAt(s.Live) + l.CheckpointMin
}

// RateOf is the budget in bytes per second: the base rate, raised as the folder
// outgrows its target or nears its bound.
func (l Limits) RateOf(s Space) float64 {
	over := max(float64(s.Used)/float64(l.Target(s))-1, (float64(s.Used)/float64(l.MaxBytes)-0.75)*4, 0)
	return float64(l.Rate) * min(1+slope*over, mostRate)
}

// Spend tells what a step really took.
func (p *Planner) Spend(bytes int64) { p.tokens -= float64(bytes) }

// Next decides.
func (p *Planner) Next(f Facts) Step {
	l := &p.Limits
	rate := l.RateOf(f.Space)
	if p.began {
		p.tokens = min(p.tokens+rate*(f.Now-p.last).Seconds(), float64(l.Chunk))
	}
	if !p.began || f.Seq != p.seq {
		p.seq, p.quiet = f.Seq, f.Now
	}
	p.began, p.last = true, f.Now
	if f.Failed {
		p.rest = f.Now + l.Again
	}
	if f.Unsynced && (f.Eager || f.Now-f.UnsyncedSince >= l.FlushAfter) {
		return Step{Kind: Flush}
	}
	if f.Now < p.rest && !f.Eager {
		return Step{Wait: min(p.rest-f.Now, idle)}
	}
	if n, ok := droppable(f); ok {
		return Step{Kind: Drop, Segment: n}
	}
	if f.Eager {
		return eager(f)
	}
	if f.Task != NoTask {
		if p.tokens < float64(l.Chunk)/2 {
			short := (float64(l.Chunk)/2 - p.tokens) / rate
			return Step{Wait: min(max(time.Duration(short*float64(time.Second)), time.Millisecond), idle)}
		}
		return Step{Kind: Continue, Bytes: l.Chunk}
	}
	if l.checkpointDue(f, f.Now-p.quiet >= l.QuietAfter) {
		return Step{Kind: BeginCheckpoint}
	}
	if n, ok := l.worst(f); ok {
		return Step{Kind: BeginCompaction, Segment: n}
	}
	if room := f.Space; f.ReserveMissing {
		room.Released = false
		if l.Admits(room, 0, true) {
			return Step{Kind: RestoreReserve}
		}
	}
	return Step{Wait: idle}
}

// eager gives all space back: everything sealed that holds dead data is compacted,
// and two checkpoints let go of what is dead.
func eager(f Facts) Step {
	if f.Task != NoTask {
		return Step{Kind: Continue, Bytes: 1 << 20}
	}
	for _, s := range f.Segments {
		if s.Refs > 0 && !s.Unreadable && s.Bytes-s.Live > s.Bytes/8 && s.Bytes > 4<<10 {
			if !s.Sealed {
				return Step{Kind: Seal}
			}
			return Step{Kind: BeginCompaction, Segment: s.Number}
		}
	}
	if n := len(f.Segments); n > 0 && !f.Segments[n-1].Sealed && f.Segments[n-1].Refs == 0 && f.Segments[n-1].Bytes > 4<<10 {
		return Step{Kind: Seal}
	}
	if f.Seq > f.OlderSeq {
		return Step{Kind: BeginCheckpoint}
	}
	if f.ReserveMissing {
		return Step{Kind: RestoreReserve}
	}
	return Step{Wait: idle}
}

// droppable finds a segment that neither the index, nor a checkpoint that is kept
// with the log behind it, nor an open snapshot needs.
func droppable(f Facts) (uint32, bool) {
	for _, s := range f.Segments {
		if s.Sealed && s.Refs == 0 && s.Number < f.OlderSegment && s.DeadSince <= f.OlderSeq && s.DeadSince <= f.OldestSnapshot {
			return s.Number, true
		}
	}
	return 0, false
}

// waiting is how many bytes checkpoints alone would let go of.
func waiting(f Facts) (sum int64) {
	for _, s := range f.Segments {
		if s.Sealed && s.Refs == 0 && s.DeadSince <= f.OldestSnapshot {
			sum += s.Bytes
		}
	}
	return sum
}

func (l *Limits) checkpointDue(f Facts, quiet bool) bool {
	if f.Seq <= f.OlderSeq {
		return false // both have all there is
	}
	if f.LogBehind >= max(l.CheckpointMin, int64(l.CheckpointShare*float64(f.Space.Checkpoint))) {
		return true
	}
	if quiet && f.LogBehind+waiting(f) >= max(l.CheckpointMin/16, f.Space.Live/20) {
		return true // it costs nobody anything now, and makes the next start short
	}
	return waiting(f) >= max(l.CheckpointMin/4, int64(l.WaitingShare*float64(f.Space.Live)))
}

// worst is the segment whose compaction gives the most space for what it moves, if
// there is more dead data than is let be.
func (l *Limits) worst(f Facts) (uint32, bool) {
	var dead int64
	best, gain := uint32(0), 0.0
	for _, s := range f.Segments {
		if !s.Sealed || s.Refs == 0 {
			continue
		}
		dead += s.Bytes - s.Live
		if g := float64(s.Bytes-s.Live) / float64(s.Live+1); g > gain && !s.Unreadable {
			best, gain = s.Number, g
		}
	}
	enough := int64(l.GarbageShare*float64(f.Space.Live)) + l.SegmentMin
	return best, best != 0 && dead > enough && gain > l.GarbageShare/4
}
