package plan

// Space is the disk usage of the store.
type Space struct {
	UsedBytes       int64 // length of all files
	CheckpointBytes int64 // length of the newest checkpoint
	LiveBytes       int64 // length of the live keys and values
	ReserveReleased bool  // the disk was full, and the reserve file was removed
}

const (
	// minCheckpointDivisor: the next checkpoint is assumed to have at least the length
	// of the live data divided by this.
	minCheckpointDivisor = 16
	// checkpointGrowthDivisor: the next checkpoint is assumed to be longer than the last
	// one by the last one's length divided by this.
	checkpointGrowthDivisor = 4
	// maxHeadroomDivisor: the headroom is at most MaxBytes divided by this.
	maxHeadroomDivisor = 2
)

// HeadroomBytes returns the space that puts must leave free, so that the next checkpoint
// and the compaction of one segment always fit.
func (l Limits) HeadroomBytes(s Space) int64 {
	checkpoint := max(s.CheckpointBytes, s.LiveBytes/minCheckpointDivisor)
	checkpoint += checkpoint / checkpointGrowthDivisor
	return min(checkpoint+l.SegmentBytes(s.LiveBytes), l.MaxBytes/maxHeadroomDivisor)
}

// Admits reports whether a batch of a length in bytes may be written. A batch without
// puts may use the headroom. Batches that maintenance writes are not checked. While the
// reserve is released, batches with puts are not admitted.
func (l Limits) Admits(s Space, bytes int64, hasPuts bool) bool {
	if hasPuts {
		if s.ReserveReleased {
			return false
		}
		bytes += l.HeadroomBytes(s)
	}
	return s.UsedBytes+bytes <= l.MaxBytes
}

// TargetBytes returns the intended size of the folder: the live data and the tolerated
// dead data, two checkpoints, two segments, and the log up to the next checkpoint.
func (l Limits) TargetBytes(s Space) int64 {
	dead := int64(float64(s.LiveBytes) * (l.GarbageRatio + l.PendingDropRatio))
	return s.LiveBytes + dead + 2*s.CheckpointBytes + 2*l.SegmentBytes(s.LiveBytes) + l.MinCheckpointLogBytes
}

const (
	// maxRateFactor bounds the rate, in multiples of Limits.BytesPerSecond.
	maxRateFactor = 16
	// overTargetRateFactor is the increase of the rate, in multiples of BytesPerSecond,
	// when the folder has twice its target size. At 1/8 above the target the rate is
	// doubled.
	overTargetRateFactor = 8
	// nearFullRatio is the ratio of used bytes to MaxBytes above which the rate grows
	// regardless of the target. nearFullWeight scales the excess, so that a full folder
	// has the same rate as one with twice its target size.
	nearFullRatio  = 0.75
	nearFullWeight = 4
)

// Rate returns the I/O rate of maintenance in bytes per second. It is BytesPerSecond,
// and higher when the folder is larger than its target or close to MaxBytes.
func (l Limits) Rate(s Space) float64 {
	overTarget := float64(s.UsedBytes)/float64(l.TargetBytes(s)) - 1
	nearFull := (float64(s.UsedBytes)/float64(l.MaxBytes) - nearFullRatio) * nearFullWeight
	return float64(l.BytesPerSecond) * min(1+overTargetRateFactor*max(overTarget, nearFull, 0), maxRateFactor)
}
