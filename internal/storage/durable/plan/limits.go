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
	SegmentMin, SegmentMax int64
	// CheckpointMin is the least log, in bytes, that a checkpoint is worth; above it,
	// one is due when the log behind it is as long as CheckpointShare of the last.
	CheckpointMin   int64
	CheckpointShare float64
	// GarbageShare is how much dead data, as a share of the live, is let be.
	GarbageShare float64
	// WaitingShare is how much dead data, as a share of the live, may wait for the two
	// checkpoints that let go of it.
	WaitingShare float64
	// Rate is what upkeep writes and reads in bytes a second when nothing presses. It
	// grows up to sixteen times as the folder outgrows its target.
	Rate int64
	// Chunk is the most that one step writes or reads, in bytes.
	Chunk int64
	// FlushAfter is how long a buffered write may stay unsynced.
	FlushAfter time.Duration
	// QuietAfter is how long nothing must be written for a checkpoint to be due early.
	QuietAfter time.Duration
	// Again is how long upkeep rests after a step that failed.
	Again time.Duration
}

// Defaults suit a store of some MB to some GB on a disk that others use too.
func Defaults() Limits {
	return Limits{MaxBytes: 4 << 30, SegmentMin: 256 << 10, SegmentMax: 64 << 20, CheckpointMin: 4 << 20, CheckpointShare: 1,
		GarbageShare: 0.3, WaitingShare: 0.25, Rate: 8 << 20, Chunk: 128 << 10, FlushAfter: 200 * time.Millisecond,
		QuietAfter: time.Second, Again: time.Second}
}

// Filled sets what is zero, and checks the rest.
func (l Limits) Filled() (Limits, error) {
	d := Defaults()
	for _, f := range []struct{ v, d *int64 }{{&l.MaxBytes, &d.MaxBytes}, {&l.SegmentMin, &d.SegmentMin}, {&l.SegmentMax, &d.SegmentMax},
		{&l.CheckpointMin, &d.CheckpointMin}, {&l.Rate, &d.Rate}, {&l.Chunk, &d.Chunk},
		{(*int64)(&l.FlushAfter), (*int64)(&d.FlushAfter)}, {(*int64)(&l.QuietAfter), (*int64)(&d.QuietAfter)}, {(*int64)(&l.Again), (*int64)(&d.Again)}} {
		if *f.v == 0 {
			*f.v = *f.d
		}
		if *f.v < 0 {
			return l, errors.New("upkeep: a limit is negative")
		}
	}
	for _, f := range []struct{ v, d *float64 }{{&l.CheckpointShare, &d.CheckpointShare}, {&l.GarbageShare, &d.GarbageShare},
		{&l.WaitingShare, &d.WaitingShare}} {
		if *f.v == 0 {
			*f.v = *f.d
		}
		if !(*f.v > 0) {
			return l, errors.New("upkeep: a share is not above 0")
		}
	}
	switch {
	case l.SegmentMin > l.SegmentMax:
		return l, errors.New("upkeep: the shortest segment is longer than the longest")
	case l.SegmentMax > 1<<30:
		return l, errors.New("upkeep: segments are at most 1 GiB long")
	}
	return l, nil
}

// SealAt is the length at which a segment is sealed, for so much live data.
func (l Limits) SealAt(live int64) int64 { return min(max(live/8, l.SegmentMin), l.SegmentMax) }

// Space is what counts for whether there is room.
type Space struct {
	Used       int64 // bytes of all files
	Checkpoint int64 // bytes of the newest checkpoint
	Live       int64 // bytes of keys and values
	Released   bool  // the disk was full, and the reserve went to deletes or upkeep
}

// Headroom is what is kept free so that the next checkpoint, and moving one segment,
// always fit.
func (l Limits) Headroom(s Space) int64 {
	return min(max(s.Checkpoint, s.Live/16)*5/4+l.SealAt(s.Live), l.MaxBytes/2)
}

// Admits says whether a batch of so many bytes may be written. One that has only
// deletes may use the headroom, and upkeep may use all there is. Once the reserve has
// been released, nothing grows until upkeep has made room for it again.
func (l Limits) Admits(s Space, bytes int64, grows bool) bool {
	if grows {
		if s.Released {
			return false
		}
		bytes += l.Headroom(s)
	}
	return s.Used+bytes <= l.MaxBytes
}
