package plan

import (
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

// segmentBytesLimit bounds MaxSegmentBytes.
const segmentBytesLimit = 1 << 30

// WithDefaults sets what is zero, and checks the rest.
func (l Limits) WithDefaults() (Limits, error) {
	defaults := DefaultLimits()
	for _, field := range []struct{ value, defaultValue *int64 }{
		{&l.MaxBytes, &defaults.MaxBytes},
		{&l.MinSegmentBytes, &defaults.MinSegmentBytes},
		{&l.MaxSegmentBytes, &defaults.MaxSegmentBytes},
		{&l.MinCheckpointLogBytes, &defaults.MinCheckpointLogBytes},
		{&l.BytesPerSecond, &defaults.BytesPerSecond},
		{&l.MaxStepBytes, &defaults.MaxStepBytes},
		{(*int64)(&l.MaxUnsyncedAge), (*int64)(&defaults.MaxUnsyncedAge)},
		{(*int64)(&l.IdleCheckpointDelay), (*int64)(&defaults.IdleCheckpointDelay)},
		{(*int64)(&l.RetryDelay), (*int64)(&defaults.RetryDelay)},
	} {
		if *field.value == 0 {
			*field.value = *field.defaultValue
		}
		if *field.value < 0 {
			return l, errors.New("maintenance: a limit is negative")
		}
	}
	for _, field := range []struct{ value, defaultValue *float64 }{
		{&l.CheckpointLogRatio, &defaults.CheckpointLogRatio},
		{&l.GarbageRatio, &defaults.GarbageRatio},
		{&l.PendingDropRatio, &defaults.PendingDropRatio},
	} {
		if *field.value == 0 {
			*field.value = *field.defaultValue
		}
		if !(*field.value > 0) { // also false for NaN
			return l, errors.New("maintenance: a ratio is not above 0")
		}
	}
	switch {
	case l.MinSegmentBytes > l.MaxSegmentBytes:
		return l, errors.New("maintenance: the shortest segment is longer than the longest")
	case l.MaxSegmentBytes > segmentBytesLimit:
		return l, errors.New("maintenance: segments are at most 1 GiB long")
	}
	return l, nil
}

// segmentsOfLiveData is the number of segments that the live data would fill: a
// segment is sealed at that part of it, so that one dead segment wastes little.
const segmentsOfLiveData = 8

// SegmentBytes is the length at which a segment is sealed.
func (l Limits) SegmentBytes(liveBytes int64) int64 {
	return min(max(liveBytes/segmentsOfLiveData, l.MinSegmentBytes), l.MaxSegmentBytes)
}
