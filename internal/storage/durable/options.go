package durable

import (
	"cmp"
	"errors"
	"fmt"
	"math"

	"oxbowbridge/internal/storage/durable/plan"
)

// Options are a store's limits. A zero field takes its value from DefaultOptions.
type Options struct {
	// MaxKeyBytes bounds one key; default 4 KiB, at most 65535.
	MaxKeyBytes int
	// MaxValueBytes bounds one value; default 8 MiB.
	MaxValueBytes int
	// MaxBatchBytes bounds the encoded form of one batch; default 16 MiB, at most
	// 256 MiB. A key of MaxKeyBytes with a value of MaxValueBytes must fit.
	MaxBatchBytes int
	// MaxInlineBytes is the length up to which a value is stored in memory with its
	// key; default 64, at most 4096.
	MaxInlineBytes int
	// MaxQueuedBatches bounds the queue of batches that wait for the committer; when it
	// is full, callers block. Default 1024.
	MaxQueuedBatches int
	// MaxGroupBytes is the length at which a group of batches, which shares one sync,
	// accepts no further batch; default 1 MiB.
	MaxGroupBytes int
	// MaxSnapshots bounds the number of open snapshots; default 256.
	MaxSnapshots int
	// ReserveBytes is the length of the reserve file. It is removed when the disk is
	// full, so that deletes and maintenance still work. Default 1 MiB.
	ReserveBytes int
	// StoreID distinguishes the files of this store from those of other stores; 0
	// selects a random one.
	StoreID uint64
	// Maintenance sets when segments are sealed, compacted and dropped, when
	// checkpoints are taken, and the rate of that work.
	Maintenance plan.Limits
	// ManualMaintenance disables background maintenance; the caller calls
	// RunMaintenance.
	ManualMaintenance bool
}

// Upper bounds of Options, in bytes. The index stores key lengths in 16 bits.
const (
	maxKeyBytesLimit    = math.MaxUint16
	maxBatchBytesLimit  = 1 << 28
	maxInlineBytesLimit = 4096
)

// DefaultOptions returns the options that replace zero fields of Options.
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

// withDefaults replaces zero fields by those of DefaultOptions. It fails if an option
// is out of range.
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

// validate checks the ranges of all options except Maintenance, after withDefaults has
// replaced zero fields.
func (o *Options) validate() error {
	smallest := min(o.MaxKeyBytes, o.MaxValueBytes, o.MaxBatchBytes, o.MaxInlineBytes,
		o.MaxQueuedBatches, o.MaxGroupBytes, o.MaxSnapshots, o.ReserveBytes)
	switch {
	case smallest < 0:
		return errors.New("options: a limit is negative")
	case o.MaxKeyBytes > maxKeyBytesLimit:
		return fmt.Errorf("options: MaxKeyBytes is %d, want at most %d", o.MaxKeyBytes, maxKeyBytesLimit)
	case o.MaxBatchBytes > maxBatchBytesLimit:
		return fmt.Errorf("options: MaxBatchBytes is %d, want at most %d", o.MaxBatchBytes, maxBatchBytesLimit)
	case o.MaxValueBytes+o.MaxKeyBytes+maxOpOverhead > o.MaxBatchBytes:
		return errors.New("options: MaxBatchBytes is too small for a key of MaxKeyBytes with a value of MaxValueBytes")
	case o.MaxInlineBytes > maxInlineBytesLimit:
		return fmt.Errorf("options: MaxInlineBytes is out of range, want at most %d", maxInlineBytesLimit)
	}
	return nil
}
