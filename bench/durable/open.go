package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

func recordKey(i int) []byte   { return fmt.Appendf(nil, "rec/%012d", i) }
func recordValue(i int) []byte { return fmt.Appendf(nil, "%032d", i) }

// open measures the time to open a large store of small records, and its memory usage.
func (b *bench) open() error {
	fmt.Printf("\n## Opening a store of %d records (16 B keys, 32 B values)\n\n"+
		"| engine | open and read one, ms | heap, B a key | file, MB |\n"+
		"| --- | --- | --- | --- |\n", b.keys)
	for i, kind := range engines {
		if kind.name == boltBatchName {
			continue // bbolt Batch has the same files as bbolt Update
		}
		path := filepath.Join(b.dir, fmt.Sprint("open-", i))
		if err := b.measureOpen(kind, path); err != nil {
			return err
		}
	}
	return nil
}

// measureOpen fills a store, opens it several times, and prints its row of the table.
func (b *bench) measureOpen(kind engineKind, path string) error {
	defer os.RemoveAll(path)
	if err := b.fill(kind, path); err != nil {
		return err
	}
	var millis []float64
	heapPerKey := 0.0
	for range b.rounds {
		elapsed, heap, err := b.measureOpenOnce(kind, path)
		if err != nil {
			return err
		}
		millis = append(millis, elapsed.Seconds()*1000)
		heapPerKey = heap
	}
	size, err := totalFileBytes(path)
	if err != nil {
		return err
	}
	fmt.Printf("| %s | %s | %.0f | %.1f |\n", kind.name, medianAndRange(millis, "%.1f"), heapPerKey, float64(size)/1e6)
	return nil
}

// fill creates a store with b.keys records. For the durable store it waits until
// maintenance has taken a checkpoint of most of the log.
func (b *bench) fill(kind engineKind, path string) error {
	store, err := kind.open(path)
	if err != nil {
		return err
	}
	if err := store.load(b.keys, recordKey, recordValue); err != nil {
		return err
	}
	if d, ok := store.(durableEngine); ok {
		for d.Stats().LogBytesSinceCheckpoint > d.Stats().CheckpointBytes {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return store.close()
}

// measureOpenOnce opens a store and returns the elapsed time. For the durable store, whose
// index is in memory, the time includes the read of one key.
func (b *bench) measureOpenOnce(kind engineKind, path string) (elapsed time.Duration, heapPerKey float64, err error) {
	before := heapBytes()
	start := time.Now()
	store, err := kind.open(path)
	if err != nil {
		return 0, 0, err
	}
	if d, ok := store.(durableEngine); ok {
		if _, err := d.Get(recordKey(b.keys/2), 0); err != nil {
			return 0, 0, err
		}
	}
	elapsed = time.Since(start)
	heapPerKey = heapGrowthPerKey(before, b.keys)
	runtime.KeepAlive(store)
	return elapsed, heapPerKey, store.close()
}

// totalFileBytes returns the length of a file, or of all files in a folder, in bytes.
func totalFileBytes(path string) (total int64, err error) {
	err = filepath.WalkDir(path, func(_ string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err == nil {
			total += info.Size()
		}
		return err
	})
	return total, err
}
