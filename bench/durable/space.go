package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"oxbowbridge/internal/storage/durable"
)

const (
	// spaceKeyBytes is the length of a key in the space measurements.
	spaceKeyBytes = len("key/00000000")
	// spaceOverwrites is the number of times that each key is overwritten.
	spaceOverwrites = 20
	// maintenanceSettleTime is a wait after which maintenance has completed all steps that
	// are due.
	maintenanceSettleTime = 4 * time.Second
)

// space overwrites every key 20 times and compares the size of the folder with the live
// data.
func (b *bench) space() error {
	fmt.Print("\n## Space after every key was overwritten 20 times\n\n" +
		"| value | keys | data | largest folder | after the last write | compacted |\n" +
		"| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range []struct{ valueBytes, keys int }{{32, 100_000}, {128, 50_000}, {1024, 20_000}, {16 << 10, 1000}} {
		if err := b.measureSpace(c.valueBytes, c.keys); err != nil {
			return err
		}
	}
	fmt.Println("\nFolder sizes are in multiples of the data (keys and values), the reserve of 1 MiB included.")
	return nil
}

// measureSpace measures one store and prints its row of the table.
func (b *bench) measureSpace(valueBytes, keys int) error {
	path := filepath.Join(b.dir, fmt.Sprint("space-", valueBytes))
	defer os.RemoveAll(path)
	store, err := openStore(path, durable.Options{})
	if err != nil {
		return err
	}
	peak, err := overwriteAll(store, valueBytes, keys)
	if err != nil {
		return err
	}
	time.Sleep(maintenanceSettleTime)
	data := float64(keys * (valueBytes + spaceKeyBytes))
	settled := store.Stats().UsedBytes
	if err := store.Compact(context.Background()); err != nil {
		return err
	}
	fmt.Printf("| %d B | %d | %.1f MB | %.2f | %.2f | %.2f |\n", valueBytes, keys, data/1e6,
		float64(peak)/data, float64(settled)/data, float64(store.Stats().UsedBytes)/data)
	return store.Close()
}

// overwriteAll writes each key and then overwrites it spaceOverwrites times. It returns
// the maximum size of the folder during the overwrites, in bytes.
func overwriteAll(store *durable.Store, valueBytes, keys int) (peak int64, err error) {
	const (
		syncInterval = 500 // puts
		sizeInterval = 100 // puts
	)
	rng := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, valueBytes)
	for round := range 1 + spaceOverwrites {
		for i, k := range rng.Perm(keys) {
			if err := putBuffered(store, fmt.Appendf(nil, "key/%08d", k), value); err != nil {
				return 0, err
			}
			if i%syncInterval == 0 {
				if err := store.Sync(); err != nil {
					return 0, err
				}
			}
			if round > 0 && i%sizeInterval == 0 {
				peak = max(peak, store.Stats().UsedBytes)
			}
		}
	}
	return peak, nil
}
