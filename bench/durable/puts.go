package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// puts measures the rate of synced puts. The engines alternate in each round.
func (b *bench) puts() error {
	fmt.Print("\n## Synced puts a second\n\n" +
		"| writers | value | engine | puts/s | durable is |\n" +
		"| --- | --- | --- | --- | --- |\n")
	for _, writers := range []int{1, 16, 64} {
		for _, valueBytes := range []int{128, 1024} {
			if err := b.comparePuts(writers, valueBytes); err != nil {
				return err
			}
		}
	}
	return nil
}

// comparePuts measures all engines and prints their rows of the table.
func (b *bench) comparePuts(writers, valueBytes int) error {
	rates := make([][]float64, len(engines))
	for round := range b.rounds {
		for i, kind := range engines {
			path := filepath.Join(b.dir, fmt.Sprintf("puts-%d-%d-%d-%d", writers, valueBytes, i, round))
			rate, err := b.measurePutRate(kind, path, writers, valueBytes)
			if err != nil {
				return err
			}
			rates[i] = append(rates[i], rate)
		}
	}
	for i, kind := range engines {
		ratio := "-"
		if i > 0 {
			ratio = medianAndRange(ratios(rates[0], rates[i]), "%.1f") + " times that"
		}
		fmt.Printf("| %d | %d B | %s | %s | %s |\n", writers, valueBytes, kind.name, medianAndRange(rates[i], "%.0f"), ratio)
	}
	return nil
}

// measurePutRate returns the puts per second of one engine with a new store.
func (b *bench) measurePutRate(kind engineKind, path string, writers, valueBytes int) (float64, error) {
	defer os.RemoveAll(path)
	store, err := kind.open(path)
	if err != nil {
		return 0, err
	}
	rate, err := b.measureWriteRate(store, writers, valueBytes)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", kind.name, err)
	}
	return rate, store.close()
}

// measureWriteRate returns the puts per second of a number of writers. Each writer has its
// own keys.
func (b *bench) measureWriteRate(store engine, writers, valueBytes int) (float64, error) {
	var puts atomic.Int64
	var writersDone sync.WaitGroup
	errs := make(chan error, writers)
	start := time.Now()
	for w := range writers {
		writersDone.Go(func() {
			value := make([]byte, valueBytes)
			for i := 0; time.Since(start) < b.loadDuration; i++ {
				if err := store.put(fmt.Appendf(nil, "%03d/%08d", w, i), value); err != nil {
					errs <- err
					return
				}
				puts.Add(1)
			}
		})
	}
	writersDone.Wait()
	elapsed := time.Since(start)
	select {
	case err := <-errs:
		return 0, err
	default:
		return float64(puts.Load()) / elapsed.Seconds(), nil
	}
}
