package plan

import (
	"cmp"
	"errors"
	"time"
)

// Limits are the configurable limits of maintenance. A zero field takes its value from
// DefaultLimits.
type Limits struct {
	// MaxBytes bounds the length of all files together; default 4 GiB. Puts are rejected
	// earlier, see Limits.HeadroomBytes.
	MaxBytes int64
	// MinSegmentBytes and MaxSegmentBytes bound the length at which a segment is sealed;
	// defaults 256 KiB and 64 MiB, at most 1 GiB.
	MinSegmentBytes int64
	MaxSegmentBytes int64
	// MinCheckpointLogBytes is the minimum length of the log since the last checkpoint at
	// which a checkpoint is due; default 4 MiB. An idle store, or one with much data
	// waiting to be dropped, takes a checkpoint earlier.
	MinCheckpointLogBytes int64
	// CheckpointLogRatio: a checkpoint is due when the log since the last checkpoint has
	// this multiple of that checkpoint's length; default 1.
	CheckpointLogRatio float64
	// GarbageRatio is the ratio of dead to live data that compaction tolerates; default
	// 0.3.
	GarbageRatio float64
	// PendingDropRatio is the maximum ratio of data in segments that wait to be dropped
	// to live data. Such a segment is dropped after two checkpoints; default 0.25.
	PendingDropRatio float64
	// BytesPerSecond is the I/O rate of maintenance while the folder is not larger than
	// its target; default 8 MiB. See Limits.Rate.
	BytesPerSecond int64
	// MaxStepBytes is the I/O budget of one step; default 128 KiB.
	MaxStepBytes int64
	// MaxUnsyncedAge is the maximum time for which a buffered write stays unsynced;
	// default 200 ms.
	MaxUnsyncedAge time.Duration
	// IdleCheckpointDelay is the time without writes after which the store is idle, so
	// that a checkpoint is due earlier; default 1 s.
	IdleCheckpointDelay time.Duration
	// RetryDelay is the delay after a failed step; default 1 s.
	RetryDelay time.Duration
}

// DefaultLimits returns limits for a store of some MB to some GB on a shared disk.
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

// WithDefaults replaces zero fields by those of DefaultLimits. It fails if a limit is
// out of range.
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

// validate checks the ranges of the limits, after WithDefaults has replaced zero fields.
func (l *Limits) validate() error {
	smallestBytes := min(l.MaxBytes, l.MinSegmentBytes, l.MaxSegmentBytes, l.MinCheckpointLogBytes, l.BytesPerSecond, l.MaxStepBytes)
	shortestDelay := min(l.MaxUnsyncedAge, l.IdleCheckpointDelay, l.RetryDelay)
	smallestRatio := min(l.CheckpointLogRatio, l.GarbageRatio, l.PendingDropRatio) // NaN if one of the ratios is NaN
	switch {
	case smallestBytes < 0 || shortestDelay < 0:
		return errors.New("maintenance: a limit is negative")
	case !(smallestRatio > 0):
		return errors.New("maintenance: a ratio is not above 0")
	case l.MinSegmentBytes > l.MaxSegmentBytes:
		return errors.New("maintenance: MinSegmentBytes is larger than MaxSegmentBytes")
	case l.MaxSegmentBytes > segmentBytesLimit:
		return errors.New("maintenance: MaxSegmentBytes is larger than 1 GiB")
	}
	return nil
}

// targetSegmentCount is the number of segments into which the live data is divided. With
// more segments, a dead segment that is not yet dropped wastes less space.
const targetSegmentCount = 8

// SegmentBytes returns the length at which a segment is sealed.
func (l Limits) SegmentBytes(liveBytes int64) int64 {
	return min(max(liveBytes/targetSegmentCount, l.MinSegmentBytes), l.MaxSegmentBytes)
}
