package plan

import "time"

// Segment is one segment of the log.
type Segment struct {
	Number     uint32
	Bytes      int64
	LiveBytes  int64  // of the values that the index refers to here
	LiveValues int64  // how many they are
	EmptiedSeq uint64 // the batch after which no value was live
	Sealed     bool   // nothing is appended any more
	Unreadable bool   // compaction found damage in it
}

// deadBytes is what compaction of the segment would reclaim.
func (s *Segment) deadBytes() int64 { return s.Bytes - s.LiveBytes }

// Task is the work that maintenance has begun and not completed.
type Task int

// The tasks.
const (
	// NoTask means that nothing is unfinished.
	NoTask Task = iota
	// Checkpointing means that a checkpoint is being written.
	Checkpointing
	// Compacting means that a segment is being compacted.
	Compacting
)

// State is all that a decision depends on.
type State struct {
	Now                     time.Duration // since any fixed moment
	Segments                []Segment     // in the order of their numbers
	Seq                     uint64        // the last batch
	OlderCheckpointSeq      uint64        // last batch of the older of the two checkpoints; 0 if there is none
	OlderCheckpointSegment  uint32        // where the log behind it begins
	OldestSnapshotSeq       uint64        // of the open snapshots; Seq if none is open
	UnsyncedSince           time.Duration // time of the oldest unsynced write
	HasUnsynced             bool
	LogBytesSinceCheckpoint int64 // length of the log after the newest checkpoint
	Space                   Space
	Task                    Task
	LastStepFailed          bool // the step before this decision
	ReserveMissing          bool // the reserve is not on disk
	ReclaimAll              bool // an operator wants all space back now
}

// pendingDropBytes is the length of the segments that can be dropped once both
// checkpoints are newer.
func (s *State) pendingDropBytes() (total int64) {
	for _, segment := range s.Segments {
		if segment.Sealed && segment.LiveValues == 0 && segment.EmptiedSeq <= s.OldestSnapshotSeq {
			total += segment.Bytes
		}
	}
	return total
}

// droppableSegment finds a segment that neither the index, nor a retained checkpoint
// with the log behind it, nor an open snapshot needs.
func (s *State) droppableSegment() (number uint32, ok bool) {
	for _, segment := range s.Segments {
		if segment.Sealed && segment.LiveValues == 0 && segment.Number < s.OlderCheckpointSegment &&
			segment.EmptiedSeq <= s.OlderCheckpointSeq && segment.EmptiedSeq <= s.OldestSnapshotSeq {
			return segment.Number, true
		}
	}
	return 0, false
}

// StepKind is what to do.
type StepKind int

// The kinds of steps.
const (
	// Idle means that there is nothing to do before Step.Delay.
	Idle StepKind = iota
	// Flush syncs the log.
	Flush
	// DropSegment removes Step.Segment.
	DropSegment
	// ContinueTask goes on with the running task, for Step.BudgetBytes.
	ContinueTask
	// RestoreReserve writes the reserve file.
	RestoreReserve
	// SealSegment rotates the active segment.
	SealSegment
	// BeginCheckpoint begins a checkpoint.
	BeginCheckpoint
	// BeginCompaction begins the compaction of Step.Segment.
	BeginCompaction
)

// String is the kind in words.
func (k StepKind) String() string {
	return [...]string{
		Idle:            "wait",
		Flush:           "flush",
		DropSegment:     "drop",
		ContinueTask:    "continue",
		RestoreReserve:  "restore reserve",
		SealSegment:     "seal",
		BeginCheckpoint: "begin checkpoint",
		BeginCompaction: "begin compaction",
	}[k]
}

// Step is one decision.
type Step struct {
	Kind        StepKind
	Segment     uint32        // of DropSegment and BeginCompaction
	BudgetBytes int64         // that ContinueTask may write and read
	Delay       time.Duration // until the next decision, whatever the kind
}
