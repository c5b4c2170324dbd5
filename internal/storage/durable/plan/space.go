package plan

// Space is the use of the disk.
type Space struct {
	UsedBytes       int64 // of all files
	CheckpointBytes int64 // of the newest checkpoint
	LiveBytes       int64 // of keys and values
	ReserveReleased bool  // the disk was full, and the reserve went to deletes or maintenance
}

// minCheckpointDivisor: a checkpoint is taken to be at least this part of the live data.
const minCheckpointDivisor = 16

// HeadroomBytes is what is kept free so that the next checkpoint, a quarter longer
// than the last, and moving one segment always fit; at most half of MaxBytes.
func (l Limits) HeadroomBytes(s Space) int64 {
	checkpoint := max(s.CheckpointBytes, s.LiveBytes/minCheckpointDivisor) * 5 / 4
	return min(checkpoint+l.SegmentBytes(s.LiveBytes), l.MaxBytes/2)
}

// Admits reports whether a batch of that length may be written. One without puts may
// use the headroom, and maintenance may use all there is. Once the reserve has been
// released, no puts are admitted until maintenance has restored it.
func (l Limits) Admits(s Space, bytes int64, hasPuts bool) bool {
	if hasPuts {
		if s.ReserveReleased {
			return false
		}
		bytes += l.HeadroomBytes(s)
	}
	return s.UsedBytes+bytes <= l.MaxBytes
}

// TargetBytes is how long the folder should be: the live data with the tolerated dead
// data, two checkpoints, two segments, and the log up to the next checkpoint.
func (l Limits) TargetBytes(s Space) int64 {
	dead := int64(float64(s.LiveBytes) * (l.GarbageRatio + l.PendingDropRatio))
	return s.LiveBytes + dead + 2*s.CheckpointBytes + 2*l.SegmentBytes(s.LiveBytes) + l.MinCheckpointLogBytes
}

const (
	// maxRateFactor bounds the rate, in multiples of Limits.BytesPerSecond.
	maxRateFactor = 16
	// rateFactorPerTarget is by how many times BytesPerSecond the rate grows for
	// each target that the folder is over.
	rateFactorPerTarget = 8
	// nearFullRatio is the part of MaxBytes above which the rate grows whatever the
	// target, by nearFullWeight targets for the whole of MaxBytes.
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
