package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/plan"
	"oxbowbridge/internal/storage/durable/vfs"
)

// puts counts synced puts a second, the engines taking turns in each round.
func (b *bench) puts() error {
	fmt.Print("\n## Synced puts a second\n\n| writers | value | engine | puts/s | durable is |\n| --- | --- | --- | --- | --- |\n")
	for _, writers := range []int{1, 16, 64} {
		for _, size := range []int{128, 1024} {
			rates := make([][]float64, len(engines))
			for round := range b.rounds {
				for i, e := range engines {
					path := filepath.Join(b.dir, fmt.Sprintf("puts-%d-%d-%d-%d", writers, size, i, round))
					s, err := e.open(path)
					if err != nil {
						return err
					}
					n, err := b.write(s, writers, size)
					if err != nil {
						return fmt.Errorf("%s: %w", e.name, err)
					}
					rates[i] = append(rates[i], n)
					if err := s.close(); err != nil {
						return err
					}
					os.RemoveAll(path)
				}
			}
			for i, e := range engines {
				ratio := "-"
				if i > 0 {
					ratio = span(ratios(rates[0], rates[i]), "%.1f") + " times that"
				}
				fmt.Printf("| %d | %d B | %s | %s | %s |\n", writers, size, e.name, span(rates[i], "%.0f"), ratio)
			}
		}
	}
	return nil
}

// write is the puts a second that so many writers reach, over keys of their own.
func (b *bench) write(s engine, writers, size int) (float64, error) {
	var n atomic.Int64
	var wg sync.WaitGroup
	errs := make(chan error, writers)
	begin := time.Now()
	for w := range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			value := make([]byte, size)
			for i := 0; time.Since(begin) < b.span; i++ {
				if err := s.put(fmt.Appendf(nil, "%03d/%08d", w, i), value); err != nil {
					errs <- err
					return
				}
				n.Add(1)
			}
		}()
	}
	wg.Wait()
	took := time.Since(begin)
	select {
	case err := <-errs:
		return 0, err
	default:
		return float64(n.Load()) / took.Seconds(), nil
	}
}

// compaction compares puts while upkeep compacts and checkpoints with puts while it
// rests, in turns on one store.
func (b *bench) compaction() error {
	fmt.Print("\n## A put while upkeep works\n\n| quantile | at rest, ms | at work, ms | ratio |\n| --- | --- | --- | --- |\n")
	const keys, size, rate = 40_000, 1024, 400
	quantiles := []float64{50, 99, 99.9}
	rest, work := make([][]float64, len(quantiles)), make([][]float64, len(quantiles))
	moved, checkpoints := int64(0), int64(0)
	for round := range b.rounds {
		for _, working := range []bool{false, true} {
			o := durable.Options{}
			if !working { // nothing is ever due
				o.Maintenance = plan.Limits{MinCheckpointLogBytes: 1 << 40, GarbageRatio: 1e6, PendingDropRatio: 1e6}
			}
			path := filepath.Join(b.dir, fmt.Sprint("compaction-", working, round))
			fs, err := vfs.OpenDir(path)
			if err != nil {
				return err
			}
			s, _, err := durable.Open(fs, o)
			if err != nil {
				return err
			}
			rng := rand.New(rand.NewPCG(uint64(round), 1))
			for i := range keys * 2 { // so that half of the log is dead
				var batch durable.Batch
				batch.Put(fmt.Appendf(nil, "%08d", rng.IntN(keys)), make([]byte, size), 0)
				if _, err := s.Apply(&batch, durable.Buffered); err != nil {
					return err
				}
				if i%1000 == 0 {
					s.Sync()
				}
			}
			before := s.Stats()
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			begin, count := time.Now(), int(4*b.span.Seconds()*rate)
			for i := range count { // on schedule, whatever the last one took
				due := begin.Add(time.Duration(i) * time.Second / rate)
				time.Sleep(time.Until(due))
				if err := s.Put(fmt.Appendf(nil, "%08d", rng.IntN(keys)), make([]byte, size)); err != nil {
					return err
				}
				h.RecordValue(int64(time.Since(due)))
			}
			after := s.Stats()
			if working {
				moved += after.MovedBytes - before.MovedBytes
				checkpoints += after.Checkpoints - before.Checkpoints
			}
			for q, p := range quantiles {
				ms := float64(h.ValueAtQuantile(p)) / 1e6
				if working {
					work[q] = append(work[q], ms)
				} else {
					rest[q] = append(rest[q], ms)
				}
			}
			if err := s.Close(); err != nil {
				return err
			}
			os.RemoveAll(path)
		}
	}
	for q, p := range quantiles {
		fmt.Printf("| %g%% | %s | %s | %s |\n", p, span(rest[q], "%.2f"), span(work[q], "%.2f"), span(ratios(work[q], rest[q]), "%.2f"))
	}
	fmt.Printf("\n%d puts/s of %d B over %d keys; %.1f MB were moved and %d checkpoints taken meanwhile.\n", rate, size, keys, float64(moved)/1e6, checkpoints)
	return nil
}

// space overwrites every key 20 times and compares the folder with what is live.
func (b *bench) space() error {
	fmt.Print("\n## Space after every key was overwritten 20 times\n\n| value | keys | data | largest folder | after the last write | compacted |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range []struct{ size, keys int }{{32, 100_000}, {128, 50_000}, {1024, 20_000}, {16 << 10, 1000}} {
		path := filepath.Join(b.dir, fmt.Sprint("space-", c.size))
		fs, err := vfs.OpenDir(path)
		if err != nil {
			return err
		}
		s, _, err := durable.Open(fs, durable.Options{})
		if err != nil {
			return err
		}
		rng := rand.New(rand.NewPCG(1, 1))
		peak, value := int64(0), make([]byte, c.size)
		for round := range 21 {
			for i, k := range rng.Perm(c.keys) {
				var batch durable.Batch
				batch.Put(fmt.Appendf(nil, "key/%08d", k), value, 0)
				if _, err := s.Apply(&batch, durable.Buffered); err != nil {
					return err
				}
				if i%500 == 0 {
					if err := s.Sync(); err != nil {
						return err
					}
				}
				if round > 0 && i%100 == 0 {
					peak = max(peak, s.Stats().UsedBytes)
				}
			}
		}
		time.Sleep(4 * time.Second) // as upkeep leaves it
		data := float64(c.keys * (c.size + 12))
		settled := s.Stats().UsedBytes
		if err := s.Compact(context.Background()); err != nil {
			return err
		}
		fmt.Printf("| %d B | %d | %.1f MB | %.2f | %.2f | %.2f |\n", c.size, c.keys, data/1e6,
			float64(peak)/data, float64(settled)/data, float64(s.Stats().UsedBytes)/data)
		if err := s.Close(); err != nil {
			return err
		}
		os.RemoveAll(path)
	}
	fmt.Println("\nFolder sizes are in multiples of the data (keys and values), the reserve of 1 MiB included.")
	return nil
}
