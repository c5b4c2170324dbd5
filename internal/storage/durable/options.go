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
	KeyBytes, ValueBytes, BatchBytes int
	// InlineBytes is the length up to which a value is held in memory with its key.
	InlineBytes int
	// QueueBatches bounds how many batches wait for the disk; more block their callers.
	QueueBatches int
	// GroupBytes bounds what shares one sync.
	GroupBytes int
	// Snapshots bounds how many may be open at once.
	Snapshots int
	// ReserveBytes are set aside on disk so that deletes and upkeep work when it is full.
	ReserveBytes int
	// StoreID tells files of one store from those of another; 0 takes a random one.
	StoreID uint64
	// Upkeep says when to seal, checkpoint, compact and drop, and how fast.
	Upkeep plan.Limits
	// Manual leaves upkeep to calls of Step.
	Manual bool
}

// Defaults are the options in force where none are given.
func Defaults() Options {
	return Options{KeyBytes: 4 << 10, ValueBytes: 8 << 20, BatchBytes: 16 << 20, InlineBytes: 64, QueueBatches: 1024,
		GroupBytes: 1 << 20, Snapshots: 256, ReserveBytes: 1 << 20, Upkeep: plan.Defaults()}
}

func (o Options) filled() (Options, error) {
	d := Defaults()
	for _, f := range []struct{ v, d *int }{{&o.KeyBytes, &d.KeyBytes}, {&o.ValueBytes, &d.ValueBytes},
		{&o.BatchBytes, &d.BatchBytes}, {&o.InlineBytes, &d.InlineBytes}, {&o.QueueBatches, &d.QueueBatches},
		{&o.GroupBytes, &d.GroupBytes}, {&o.Snapshots, &d.Snapshots}, {&o.ReserveBytes, &d.ReserveBytes}} {
		if *f.v == 0 {
			*f.v = *f.d
		}
		if *f.v < 0 {
			return o, errors.New("a limit is negative")
		}
	}
	switch {
	case o.KeyBytes > math.MaxUint16:
		return o, fmt.Errorf("keys of %d bytes are too long, want at most %d", o.KeyBytes, math.MaxUint16)
	case o.BatchBytes > 1<<28:
		return o, fmt.Errorf("batches of %d bytes are too long, want at most %d", o.BatchBytes, 1<<28)
	case o.ValueBytes+o.KeyBytes+opOverhead > o.BatchBytes:
		return o, errors.New("a batch must hold a key and a value of full length")
	case o.InlineBytes > 4096:
		return o, errors.New("at most 4096 bytes are held in memory with a key")
	}
	var err error
	o.Upkeep, err = o.Upkeep.Filled()
	return o, err
}
