package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/plan"
)

// The store and the load that puts are measured with while maintenance works.
const (
	compactionKeys       = 40_000
	compactionValueBytes = 1024
	compactionRate       = 400 // puts a second
	compactionSpans      = 4   // times the length of other loads
)

var compactionQuantiles = []float64{50, 99, 99.9}

// compactionFigures are the latencies of puts in ms, by quantile and round, and what
// maintenance did in that time.
type compactionFigures struct {
	idle        [][]float64
	working     [][]float64
	movedBytes  int64
	checkpoints int64
}

// compaction compares puts while maintenance compacts and checkpoints with puts while
// nothing is due, in turns.
func (b *bench) compaction() error {
	fmt.Print("\n## A put during maintenance\n\n| quantile | idle, ms | compacting, ms | ratio |\n| --- | --- | --- | --- |\n")
	f := compactionFigures{
		idle:    make([][]float64, len(compactionQuantiles)),
		working: make([][]float64, len(compactionQuantiles)),
	}
	for round := range b.rounds {
		for _, working := range []bool{false, true} {
			if err := b.compactionRound(&f, round, working); err != nil {
				return err
			}
		}
	}
	for i, quantile := range compactionQuantiles {
		fmt.Printf("| %g%% | %s | %s | %s |\n", quantile, medianAndRange(f.idle[i], "%.2f"),
			medianAndRange(f.working[i], "%.2f"), medianAndRange(ratios(f.working[i], f.idle[i]), "%.2f"))
	}
	fmt.Printf("\n%d puts/s of %d B over %d keys; %.1f MB were moved and %d checkpoints taken meanwhile.\n",
		compactionRate, compactionValueBytes, compactionKeys, float64(f.movedBytes)/1e6, f.checkpoints)
	return nil
}

// compactionRound measures one store, of which half of the log is dead.
func (b *bench) compactionRound(f *compactionFigures, round int, working bool) error {
	options := durable.Options{}
	if !working { // nothing is ever due
		options.Maintenance = plan.Limits{MinCheckpointLogBytes: 1 << 40, GarbageRatio: 1e6, PendingDropRatio: 1e6}
	}
	path := filepath.Join(b.dir, fmt.Sprint("compaction-", working, round))
	defer os.RemoveAll(path)
	store, err := openStore(path, options)
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(uint64(round), 1))
	if err := overwriteOnce(store, rng); err != nil {
		return err
	}
	before := store.Stats()
	latencies, err := b.measurePuts(store, rng)
	if err != nil {
		return err
	}
	after := store.Stats()
	figures := f.idle
	if working {
		figures = f.working
		f.movedBytes += after.MovedBytes - before.MovedBytes
		f.checkpoints += after.Checkpoints - before.Checkpoints
	}
	for i, quantile := range compactionQuantiles {
		figures[i] = append(figures[i], float64(latencies.ValueAtQuantile(quantile))/1e6)
	}
	return store.Close()
}

// overwriteOnce puts twice as many values as there are keys.
func overwriteOnce(store *durable.Store, rng *rand.Rand) error {
	const syncInterval = 1000 // puts
	for i := range compactionKeys * 2 {
		if err := putBuffered(store, compactionKey(rng), make([]byte, compactionValueBytes)); err != nil {
			return err
		}
		if i%syncInterval == 0 {
			store.Sync()
		}
	}
	return nil
}

func compactionKey(rng *rand.Rand) []byte { return fmt.Appendf(nil, "%08d", rng.IntN(compactionKeys)) }

// measurePuts puts on schedule, whatever the last put took, and returns the latencies
// in nanoseconds since each put was due.
func (b *bench) measurePuts(store *durable.Store, rng *rand.Rand) (*hdrhistogram.Histogram, error) {
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	began := time.Now()
	count := int(compactionSpans * b.loadDuration.Seconds() * compactionRate)
	for i := range count {
		due := began.Add(time.Duration(i) * time.Second / compactionRate)
		time.Sleep(time.Until(due))
		if err := store.Put(compactionKey(rng), make([]byte, compactionValueBytes)); err != nil {
			return nil, err
		}
		latencies.RecordValue(int64(time.Since(due)))
	}
	return latencies, nil
}
