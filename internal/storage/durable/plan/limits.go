package plan

import (
	"cmp"
	"errors"
	"time"
)

// Limits are what an operator may set. Zero values stand for those of DefaultLimits.
type Limits struct {
	// MaxBytes bounds all files together; default 4 GiB. Puts are rejected a little
	// before it.
	MaxBytes int64
	// MinSegmentBytes and MaxSegmentBytes bound a segment; defaults 256 KiB and
	// 64 MiB, at most 1 GiB.
	MinSegmentBytes int64
	MaxSegmentBytes int64
	// MinCheckpointLogBytes is the shortest log that a checkpoint is worth; default
	// 4 MiB.
	MinCheckpointLogBytes int64
	// CheckpointLogRatio: a checkpoint is due when the log after the last one is
	// this multiple of the checkpoint's length; default 1.
	CheckpointLogRatio float64
	// GarbageRatio is the dead data, as a ratio of the live data, that compaction
	// tolerates; default 0.3.
	GarbageRatio float64
	// PendingDropRatio is the data, as a ratio of the live data, that may wait for
	// the two checkpoints after which it is dropped; default 0.25.
	PendingDropRatio float64
	// BytesPerSecond is what maintenance writes and reads while the folder is not
	// above its target; default 8 MiB. See Limits.Rate.
	BytesPerSecond int64
	// MaxStepBytes is what one step writes or reads; default 128 KiB.
	MaxStepBytes int64
	// MaxUnsyncedAge is how long a buffered write may stay unsynced; default 200 ms.
	MaxUnsyncedAge time.Duration
	// IdleCheckpointDelay is how long nothing must be written for a checkpoint to be
	// due early; default 1 s.
	IdleCheckpointDelay time.Duration
	// RetryDelay is the pause after a step that failed; default 1 s.
	RetryDelay time.Duration
}

// DefaultLimits suit a store of some MB to some GB on a disk that others use too.
func DefaultLimits() Limits {
	return Limits{
		MaxBytes:              4 << 30,
		MinSegmentBytes:       256 << 10,
		MaxSegmentBytes:       64 << 20,
		MinCheckpointLogBytes: 4 << 20,
		CheckpointLogRatio:    1,
		GarbageRatio:          0.3,
		PendingDropRatio:      0.25,
		BytesPerSecond:        8 << 20,
		MaxStepBytes:          128 << 10,
		MaxUnsyncedAge:        200 * time.Millisecond,
		IdleCheckpointDelay:   time.Second,
		RetryDelay:            time.Second,
	}
}

// segmentBytesLimit bounds Limits.MaxSegmentBytes.
const segmentBytesLimit = 1 << 30

// WithDefaults replaces zero values by those of DefaultLimits. It fails if a limit is
// out of its range.
func (l Limits) WithDefaults() (Limits, error) {
	defaults := DefaultLimits()
	l.MaxBytes = cmp.Or(l.MaxBytes, defaults.MaxBytes)
	l.MinSegmentBytes = cmp.Or(l.MinSegmentBytes, defaults.MinSegmentBytes)
	l.MaxSegmentBytes = cmp.Or(l.MaxSegmentBytes, defaults.MaxSegmentBytes)
	l.MinCheckpointLogBytes = cmp.Or(l.MinCheckpointLogBytes, defaults.MinCheckpointLogBytes)
	l.CheckpointLogRatio = cmp.Or(l.CheckpointLogRatio, defaults.CheckpointLogRatio)
	l.GarbageRatio = cmp.Or(l.GarbageRatio, defaults.GarbageRatio)
	l.PendingDropRatio = cmp.Or(l.PendingDropRatio, defaults.PendingDropRatio)
	l.BytesPerSecond = cmp.Or(l.BytesPerSecond, defaults.BytesPerSecond)
	l.MaxStepBytes = cmp.Or(l.MaxStepBytes, defaults.MaxStepBytes)
	l.MaxUnsyncedAge = cmp.Or(l.MaxUnsyncedAge, defaults.MaxUnsyncedAge)
	l.IdleCheckpointDelay = cmp.Or(l.IdleCheckpointDelay, defaults.IdleCheckpointDelay)
	l.RetryDelay = cmp.Or(l.RetryDelay, defaults.RetryDelay)
	return l, l.validate()
}

// validate checks the ranges of limits that have their defaults.
func (l *Limits) validate() error {
	smallestBytes := min(l.MaxBytes, l.MinSegmentBytes, l.MaxSegmentBytes, l.MinCheckpointLogBytes, l.BytesPerSecond, l.MaxStepBytes)
	shortestDelay := min(l.MaxUnsyncedAge, l.IdleCheckpointDelay, l.RetryDelay)
	smallestRatio := min(l.CheckpointLogRatio, l.GarbageRatio, l.PendingDropRatio) // NaN if one of them is
	switch {
	case smallestBytes < 0 || shortestDelay < 0:
		return errors.New("maintenance: a limit is negative")
	case !(smallestRatio > 0):
		return errors.New("maintenance: a ratio is not above 0")
	case l.MinSegmentBytes > l.MaxSegmentBytes:
		return errors.New("maintenance: the shortest segment is longer than the longest")
	case l.MaxSegmentBytes > segmentBytesLimit:
		return errors.New("maintenance: segments are at most 1 GiB long")
	}
	return nil
}

// segmentsOfLiveData is the number of segments that the live data would fill: a
// segment is sealed at that part of it, so that one dead segment wastes little.
const segmentsOfLiveData = 8

// SegmentBytes is the length at which a segment is sealed.
func (l Limits) SegmentBytes(liveBytes int64) int64 {
	return min(max(liveBytes/segmentsOfLiveData, l.MinSegmentBytes), l.MaxSegmentBytes)
}
