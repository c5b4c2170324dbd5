package plan

// Space is the use of the disk.
type Space struct {
	UsedBytes       int64 // of all files
	CheckpointBytes int64 // of the newest checkpoint
	LiveBytes       int64 // of keys and values
	ReserveReleased bool  // the disk was full, and the reserve went to deletes or maintenance
}

const (
	// minCheckpointDivisor is the part of the live data that a checkpoint is expected
	// to be at least.
	minCheckpointDivisor = 16
	// checkpointGrowthDivisor is the part by which the next checkpoint may be longer
	// than the last.
	checkpointGrowthDivisor = 4
	// maxHeadroomDivisor is the part of MaxBytes that the headroom is at most.
	maxHeadroomDivisor = 2
)

// HeadroomBytes is the space that puts must leave free, so that the next checkpoint
// and the compaction of one segment always fit.
func (l Limits) HeadroomBytes(s Space) int64 {
	checkpoint := max(s.CheckpointBytes, s.LiveBytes/minCheckpointDivisor)
	checkpoint += checkpoint / checkpointGrowthDivisor
	return min(checkpoint+l.SegmentBytes(s.LiveBytes), l.MaxBytes/maxHeadroomDivisor)
}

// Admits reports whether a batch of a length in bytes may be written. A batch without
// puts may use the headroom. Batches of maintenance itself are written without
// this check. Once the reserve has been released, no puts are admitted until
// maintenance has restored it.
func (l Limits) Admits(s Space, bytes int64, hasPuts bool) bool {
	if hasPuts {
		if s.ReserveReleased {
			return false
		}
		bytes += l.HeadroomBytes(s)
	}
	return s.UsedBytes+bytes <= l.MaxBytes
}

// TargetBytes is the size that the folder should have: the live data with the tolerated dead
// data, two checkpoints, two segments, and the log up to the next checkpoint.
func (l Limits) TargetBytes(s Space) int64 {
	dead := int64(float64(s.LiveBytes) * (l.GarbageRatio + l.PendingDropRatio))
	return s.LiveBytes + dead + 2*s.CheckpointBytes + 2*l.SegmentBytes(s.LiveBytes) + l.MinCheckpointLogBytes
}

const (
	// maxRateFactor bounds the rate, in multiples of Limits.BytesPerSecond.
	maxRateFactor = 16
	// rateFactorPerTarget is the growth of the rate, in multiples of BytesPerSecond, when
	// the folder is twice as long as its target. An eighth over it doubles the rate.
	rateFactorPerTarget = 8
	// nearFullRatio is the part of MaxBytes in use above which the rate grows whatever
	// the target is. nearFullWeight scales what is above it: a full folder counts as one
	// that is twice as long as its target.
	nearFullRatio  = 0.75
	nearFullWeight = 4
)

// Rate is the budget of maintenance in bytes per second: BytesPerSecond, raised as
// the folder outgrows its target or nears MaxBytes.
func (l Limits) Rate(s Space) float64 {
	overTarget := float64(s.UsedBytes)/float64(l.TargetBytes(s)) - 1
	nearFull := (float64(s.UsedBytes)/float64(l.MaxBytes) - nearFullRatio) * nearFullWeight
	return float64(l.BytesPerSecond) * min(1+rateFactorPerTarget*max(overTarget, nearFull, 0), maxRateFactor)
}
