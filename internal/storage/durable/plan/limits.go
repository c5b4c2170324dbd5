// Package plan decides the upkeep of a durable store: when the log is sealed, when a
// checkpoint is taken, which segment is compacted, what may be dropped, how fast all
// that goes, and when there is no room for more. It does no I/O and reads no clock:
// facts come in, one step goes out.
package plan

import (
	"errors"
	"time"
)

// Limits are what an operator may set. Zero values take what Defaults gives.
type Limits struct {
	// MaxBytes bounds all files together; puts are turned away a little before it.
	MaxBytes int64
	// SegmentMin and SegmentMax bound a segment. Between them it is an eighth of the
	// live data, so that the space that one dead segment holds stays in proportion.
	MinSegmentBytes, MaxSegmentBytes int64
	// CheckpointMin is the least log, in bytes, that a checkpoint is worth; above it,
	// one is due when the log behind it is as long as CheckpointShare of the last.
	MinCheckpointLogBytes int64
	CheckpointLogRatio    float64
	// GarbageShare is how much dead data, as a share of the live, is let be.
	GarbageRatio float64
	// WaitingShare is how much dead data, as a share of the live, may wait for the two
	// checkpoints that let go of it.
	PendingDropRatio float64
	// Rate is what upkeep writes and reads in bytes a second when nothing presses. It
	// grows up to sixteen times as the folder outgrows its target.
	BytesPerSecond int64
	// Chunk is the most that one step writes or reads, in bytes.
	MaxStepBytes int64
	// FlushAfter is how long a buffered write may stay unsynced.
	MaxUnsyncedAge time.Duration
	// QuietAfter is how long nothing must be written for a checkpoint to be due early.
	IdleCheckpointDelay time.Duration
	// Again is how long upkeep rests after a step that failed.
	RetryDelay time.Duration
}

// Defaults suit a store of some MB to some GB on a disk that others use too.
func DefaultLimits() Limits {
	return Limits{MaxBytes: 4 << 30, MinSegmentBytes: 256 << 10, MaxSegmentBytes: 64 << 20, MinCheckpointLogBytes: 4 << 20, CheckpointLogRatio: 1,
		GarbageRatio: 0.3, PendingDropRatio: 0.25, BytesPerSecond: 8 << 20, MaxStepBytes: 128 << 10, MaxUnsyncedAge: 200 * time.Millisecond,
		IdleCheckpointDelay: time.Second, RetryDelay: time.Second}
}

// Filled sets what is zero, and checks the rest.
func (l Limits) WithDefaults() (Limits, error) {
	d := DefaultLimits()
	for _, f := range []struct{ v, d *int64 }{{&l.MaxBytes, &d.MaxBytes}, {&l.MinSegmentBytes, &d.MinSegmentBytes}, {&l.MaxSegmentBytes, &d.MaxSegmentBytes},
		{&l.MinCheckpointLogBytes, &d.MinCheckpointLogBytes}, {&l.BytesPerSecond, &d.BytesPerSecond}, {&l.MaxStepBytes, &d.MaxStepBytes},
		{(*int64)(&l.MaxUnsyncedAge), (*int64)(&d.MaxUnsyncedAge)}, {(*int64)(&l.IdleCheckpointDelay), (*int64)(&d.IdleCheckpointDelay)}, {(*int64)(&l.RetryDelay), (*int64)(&d.RetryDelay)}} {
		if *f.v == 0 {
			*f.v = *f.d
		}
		if *f.v < 0 {
			return l, errors.New("upkeep: a limit is negative")
		}
	}
	for _, f := range []struct{ v, d *float64 }{{&l.CheckpointLogRatio, &d.CheckpointLogRatio}, {&l.GarbageRatio, &d.GarbageRatio},
		{&l.PendingDropRatio, &d.PendingDropRatio}} {
		if *f.v == 0 {
			*f.v = *f.d
		}
		if !(*f.v > 0) {
			return l, errors.New("upkeep: a share is not above 0")
		}
	}
	switch {
	case l.MinSegmentBytes > l.MaxSegmentBytes:
		return l, errors.New("upkeep: the shortest segment is longer than the longest")
	case l.MaxSegmentBytes > 1<<30:
		return l, errors.New("upkeep: segments are at most 1 GiB long")
	}
	return l, nil
}

// SealAt is the length at which a segment is sealed, for so much live data.
func (l Limits) SegmentBytes(live int64) int64 {
	return min(max(live/8, l.MinSegmentBytes), l.MaxSegmentBytes)
}

// Space is what counts for whether there is room.
type Space struct {
	UsedBytes       int64 // bytes of all files
	CheckpointBytes int64 // bytes of the newest checkpoint
	LiveBytes       int64 // bytes of keys and values
	ReserveReleased bool  // the disk was full, and the reserve went to deletes or upkeep
}

// Headroom is what is kept free so that the next checkpoint, and moving one segment,
// always fit.
func (l Limits) HeadroomBytes(s Space) int64 {
	return min(max(s.CheckpointBytes, s.LiveBytes/16)*5/4+l.SegmentBytes(s.LiveBytes), l.MaxBytes/2)
}

// Admits says whether a batch of so many bytes may be written. One that has only
// deletes may use the headroom, and upkeep may use all there is. Once the reserve has
// been released, nothing grows until upkeep has made room for it again.
func (l Limits) Admits(s Space, bytes int64, grows bool) bool {
	if grows {
		if s.ReserveReleased {
			return false
		}
		bytes += l.HeadroomBytes(s)
	}
	return s.UsedBytes+bytes <= l.MaxBytes
}
