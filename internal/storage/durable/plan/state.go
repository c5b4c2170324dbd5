package plan

import "time"

// Segment is one segment of the log.
type Segment struct {
	Number     uint32
	Bytes      int64
	LiveBytes  int64  // length of the operations that the index refers to
	LiveValues int64  // number of values that the index refers to
	EmptiedSeq uint64 // sequence number of the batch after which no value was live
	Sealed     bool   // no batch is appended any more
	Unreadable bool   // compaction found damage in the segment
}

// deadBytes returns the length of the data that compaction of the segment would reclaim.
func (s *Segment) deadBytes() int64 { return s.Bytes - s.LiveBytes }

// Task is the task that maintenance has started and not completed.
type Task int

// The tasks.
const (
	// NoTask means that no task is running.
	NoTask Task = iota
	// Checkpointing means that a checkpoint is being written.
	Checkpointing
	// Compacting means that a segment is being compacted.
	Compacting
)

// State is the input of a decision.
type State struct {
	Now                     time.Duration // measured from any fixed point in time
	Segments                []Segment     // in ascending order of numbers
	Seq                     uint64        // sequence number of the last batch
	OlderCheckpointSeq      uint64        // last batch in the older of the two checkpoints; 0 if there is none
	OlderCheckpointSegment  uint32        // segment in which the replay after that checkpoint starts
	OldestSnapshotSeq       uint64        // last batch in the oldest open snapshot; Seq if none is open
	UnsyncedSince           time.Duration // time of the oldest unsynced write
	HasUnsynced             bool
	LogBytesSinceCheckpoint int64 // length of the log after the newest checkpoint
	Space                   Space
	Task                    Task
	LastStepFailed          bool // the previous step failed
	ReserveMissing          bool // the reserve file is not on disk
	ReclaimAll              bool // reclaim all space now, without a rate limit
}

// pendingDropBytes returns the length of the segments without live values that open
// snapshots don't need. They can be dropped once both checkpoints are newer.
func (s *State) pendingDropBytes() (total int64) {
	for _, segment := range s.Segments {
		if segment.Sealed && segment.LiveValues == 0 && segment.EmptiedSeq <= s.OldestSnapshotSeq {
			total += segment.Bytes
		}
	}
	return total
}

// droppableSegment returns a segment that is not needed by the index, by a retained
// checkpoint or the replay after it, or by an open snapshot.
func (s *State) droppableSegment() (number uint32, ok bool) {
	for _, segment := range s.Segments {
		if segment.Sealed && segment.LiveValues == 0 && segment.Number < s.OlderCheckpointSegment &&
			segment.EmptiedSeq <= s.OlderCheckpointSeq && segment.EmptiedSeq <= s.OldestSnapshotSeq {
			return segment.Number, true
		}
	}
	return 0, false
}

// StepKind is the kind of a step.
type StepKind int

// The kinds of steps.
const (
	// Idle means that no step is due; the next decision is due after Step.Delay.
	Idle StepKind = iota
	// Flush syncs the log.
	Flush
	// DropSegment removes Step.Segment.
	DropSegment
	// ContinueTask continues the running task, for about Step.BudgetBytes.
	ContinueTask
	// RestoreReserve writes the reserve file.
	RestoreReserve
	// SealSegment rotates the active segment.
	SealSegment
	// StartCheckpoint starts a checkpoint.
	StartCheckpoint
	// StartCompaction starts the compaction of Step.Segment.
	StartCompaction
)

// String returns the name of the kind.
func (k StepKind) String() string {
	return [...]string{
		Idle:            "wait",
		Flush:           "flush",
		DropSegment:     "drop",
		ContinueTask:    "continue",
		RestoreReserve:  "restore reserve",
		SealSegment:     "seal",
		StartCheckpoint: "begin checkpoint",
		StartCompaction: "begin compaction",
	}[k]
}

// Step is a decision of the planner.
type Step struct {
	Kind        StepKind
	Segment     uint32        // number of the segment, for DropSegment and StartCompaction
	BudgetBytes int64         // number of bytes to read and write, for ContinueTask
	Delay       time.Duration // time until the next decision, for all kinds
}
