package durable

import (
	"errors"
	"fmt"
	"math"

	"oxbowbridge/internal/storage/durable/plan"
)

// Options are a store's limits. Zero values take what Defaults gives.
type Options struct {
	// KeyBytes, ValueBytes and BatchBytes bound one key, one value and the encoded
	// form of one batch.
	MaxKeyBytes, MaxValueBytes, MaxBatchBytes int
	// InlineBytes is the length up to which a value is held in memory with its key.
	MaxInlineBytes int
	// QueueBatches bounds how many batches wait for the disk; more block their callers.
	MaxQueuedBatches int
	// GroupBytes bounds what shares one sync.
	MaxGroupBytes int
	// Snapshots bounds how many may be open at once.
	MaxSnapshots int
	// ReserveBytes are set aside on disk so that deletes and upkeep work when it is full.
	ReserveBytes int
	// StoreID tells files of one store from those of another; 0 takes a random one.
	StoreID uint64
	// Upkeep says when to seal, checkpoint, compact and drop, and how fast.
	Maintenance plan.Limits
	// Manual leaves upkeep to calls of Step.
	ManualMaintenance bool
}

// Defaults are the options in force where none are given.
func DefaultOptions() Options {
	return Options{MaxKeyBytes: 4 << 10, MaxValueBytes: 8 << 20, MaxBatchBytes: 16 << 20, MaxInlineBytes: 64, MaxQueuedBatches: 1024,
		MaxGroupBytes: 1 << 20, MaxSnapshots: 256, ReserveBytes: 1 << 20, Maintenance: plan.DefaultLimits()}
}

func (o Options) filled() (Options, error) {
	d := DefaultOptions()
	for _, f := range []struct{ v, d *int }{{&o.MaxKeyBytes, &d.MaxKeyBytes}, {&o.MaxValueBytes, &d.MaxValueBytes},
		{&o.MaxBatchBytes, &d.MaxBatchBytes}, {&o.MaxInlineBytes, &d.MaxInlineBytes}, {&o.MaxQueuedBatches, &d.MaxQueuedBatches},
		{&o.MaxGroupBytes, &d.MaxGroupBytes}, {&o.MaxSnapshots, &d.MaxSnapshots}, {&o.ReserveBytes, &d.ReserveBytes}} {
		if *f.v == 0 {
			*f.v = *f.d
		}
		if *f.v < 0 {
			return o, errors.New("a limit is negative")
		}
	}
	switch {
	case o.MaxKeyBytes > math.MaxUint16:
		return o, fmt.Errorf("keys of %d bytes are too long, want at most %d", o.MaxKeyBytes, math.MaxUint16)
	case o.MaxBatchBytes > 1<<28:
		return o, fmt.Errorf("batches of %d bytes are too long, want at most %d", o.MaxBatchBytes, 1<<28)
	case o.MaxValueBytes+o.MaxKeyBytes+opOverhead > o.MaxBatchBytes:
		return o, errors.New("a batch must hold a key and a value of full length")
	case o.MaxInlineBytes > 4096:
		return o, errors.New("at most 4096 bytes are held in memory with a key")
	}
	var err error
	o.Maintenance, err = o.Maintenance.WithDefaults()
	return o, err
}
