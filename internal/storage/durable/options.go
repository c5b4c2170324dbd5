package durable

import (
	"cmp"
	"errors"
	"fmt"
	"math"

	"oxbowbridge/internal/storage/durable/plan"
)

// Options are a store's limits. Zero values stand for those of DefaultOptions.
type Options struct {
	// MaxKeyBytes bounds one key; default 4 KiB, at most 65535.
	MaxKeyBytes int
	// MaxValueBytes bounds one value; default 8 MiB.
	MaxValueBytes int
	// MaxBatchBytes bounds the encoded form of one batch; default 16 MiB, at most
	// 256 MiB. A key and a value of full length must fit.
	MaxBatchBytes int
	// MaxInlineBytes is the length up to which a value is held in memory with its
	// key; default 64, at most 4096.
	MaxInlineBytes int
	// MaxQueuedBatches bounds the batches that wait for the committer; further
	// callers block. Default 1024.
	MaxQueuedBatches int
	// MaxGroupBytes is the length at which a group, which shares one sync, takes no
	// further batch; default 1 MiB.
	MaxGroupBytes int
	// MaxSnapshots bounds the snapshots that are open at once; default 256.
	MaxSnapshots int
	// ReserveBytes are set aside on disk, so that deletes and maintenance work when
	// the disk is full; default 1 MiB.
	ReserveBytes int
	// StoreID tells files of one store from those of another; 0 draws a random one.
	StoreID uint64
	// Maintenance says when to seal, checkpoint, compact and drop, and how fast.
	Maintenance plan.Limits
	// ManualMaintenance leaves maintenance to calls of RunMaintenance.
	ManualMaintenance bool
}

// Bounds of Options, in bytes: keys have a length of 16 bits in the index.
const (
	maxKeyBytesLimit    = math.MaxUint16
	maxBatchBytesLimit  = 1 << 28
	maxInlineBytesLimit = 4096
)

// DefaultOptions are the options in force where none are given.
func DefaultOptions() Options {
	return Options{
		MaxKeyBytes:      4 << 10,
		MaxValueBytes:    8 << 20,
		MaxBatchBytes:    16 << 20,
		MaxInlineBytes:   64,
		MaxQueuedBatches: 1024,
		MaxGroupBytes:    1 << 20,
		MaxSnapshots:     256,
		ReserveBytes:     1 << 20,
		Maintenance:      plan.DefaultLimits(),
	}
}

// withDefaults replaces zero values by those of DefaultOptions. It fails if an option
// is out of its range.
func (o Options) withDefaults() (Options, error) {
	defaults := DefaultOptions()
	o.MaxKeyBytes = cmp.Or(o.MaxKeyBytes, defaults.MaxKeyBytes)
	o.MaxValueBytes = cmp.Or(o.MaxValueBytes, defaults.MaxValueBytes)
	o.MaxBatchBytes = cmp.Or(o.MaxBatchBytes, defaults.MaxBatchBytes)
	o.MaxInlineBytes = cmp.Or(o.MaxInlineBytes, defaults.MaxInlineBytes)
	o.MaxQueuedBatches = cmp.Or(o.MaxQueuedBatches, defaults.MaxQueuedBatches)
	o.MaxGroupBytes = cmp.Or(o.MaxGroupBytes, defaults.MaxGroupBytes)
	o.MaxSnapshots = cmp.Or(o.MaxSnapshots, defaults.MaxSnapshots)
	o.ReserveBytes = cmp.Or(o.ReserveBytes, defaults.ReserveBytes)
	if err := o.validate(); err != nil {
		return o, err
	}
	var err error
	o.Maintenance, err = o.Maintenance.WithDefaults()
	return o, err
}

// validate checks the ranges of options that have their defaults, but for Maintenance.
func (o *Options) validate() error {
	smallest := min(o.MaxKeyBytes, o.MaxValueBytes, o.MaxBatchBytes, o.MaxInlineBytes,
		o.MaxQueuedBatches, o.MaxGroupBytes, o.MaxSnapshots, o.ReserveBytes)
	switch {
	case smallest < 0:
		return errors.New("a limit is negative")
	case o.MaxKeyBytes > maxKeyBytesLimit:
		return fmt.Errorf("keys of %d bytes are too long, want at most %d", o.MaxKeyBytes, maxKeyBytesLimit)
	case o.MaxBatchBytes > maxBatchBytesLimit:
		return fmt.Errorf("batches of %d bytes are too long, want at most %d", o.MaxBatchBytes, maxBatchBytesLimit)
	case o.MaxValueBytes+o.MaxKeyBytes+maxOpOverhead > o.MaxBatchBytes:
		return errors.New("a batch must hold a key and a value of full length")
	case o.MaxInlineBytes > maxInlineBytesLimit:
		return fmt.Errorf("at most %d bytes are held in memory with a key", maxInlineBytesLimit)
	}
	return nil
}
