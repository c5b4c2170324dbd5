package durable

import (
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

// withDefaults sets what is zero, and checks the rest.
func (o Options) withDefaults() (Options, error) {
	defaults := DefaultOptions()
	for _, field := range []struct {
		value        *int
		defaultValue int
	}{
		{&o.MaxKeyBytes, defaults.MaxKeyBytes},
		{&o.MaxValueBytes, defaults.MaxValueBytes},
		{&o.MaxBatchBytes, defaults.MaxBatchBytes},
		{&o.MaxInlineBytes, defaults.MaxInlineBytes},
		{&o.MaxQueuedBatches, defaults.MaxQueuedBatches},
		{&o.MaxGroupBytes, defaults.MaxGroupBytes},
		{&o.MaxSnapshots, defaults.MaxSnapshots},
		{&o.ReserveBytes, defaults.ReserveBytes},
	} {
		if *field.value == 0 {
			*field.value = field.defaultValue
		}
		if *field.value < 0 {
			return o, errors.New("a limit is negative")
		}
	}
	switch {
	case o.MaxKeyBytes > maxKeyBytesLimit:
		return o, fmt.Errorf("keys of %d bytes are too long, want at most %d", o.MaxKeyBytes, maxKeyBytesLimit)
	case o.MaxBatchBytes > maxBatchBytesLimit:
		return o, fmt.Errorf("batches of %d bytes are too long, want at most %d", o.MaxBatchBytes, maxBatchBytesLimit)
	case o.MaxValueBytes+o.MaxKeyBytes+maxOpOverhead > o.MaxBatchBytes:
		return o, errors.New("a batch must hold a key and a value of full length")
	case o.MaxInlineBytes > maxInlineBytesLimit:
		return o, fmt.Errorf("at most %d bytes are held in memory with a key", maxInlineBytesLimit)
	}
	var err error
	o.Maintenance, err = o.Maintenance.WithDefaults()
	return o, err
}
