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

// Store size and load for the latency of puts during maintenance.
const (
	compactionKeys           = 40_000
	compactionValueBytes     = 1024
	compactionPutsPerSecond  = 400
	compactionDurationFactor = 4 // multiple of bench.loadDuration
)

var compactionQuantiles = []float64{50, 99, 99.9}

// compactionResults are the latencies of puts in ms, by quantile and round, and the work
// of maintenance in the rounds with maintenance.
type compactionResults struct {
	idle              [][]float64
	duringMaintenance [][]float64
	movedBytes        int64
	checkpoints       int64
}

// compaction compares the latency of puts during compactions and checkpoints with the
// latency while no maintenance is due. The two cases alternate in each round.
func (b *bench) compaction() error {
	fmt.Print("\n## A put during maintenance\n\n| quantile | idle, ms | compacting, ms | ratio |\n| --- | --- | --- | --- |\n")
	f := compactionResults{
		idle:              make([][]float64, len(compactionQuantiles)),
		duringMaintenance: make([][]float64, len(compactionQuantiles)),
	}
	for round := range b.rounds {
		for _, withMaintenance := range []bool{false, true} {
			if err := b.compactionRound(&f, round, withMaintenance); err != nil {
				return err
			}
		}
	}
	for i, quantile := range compactionQuantiles {
		fmt.Printf("| %g%% | %s | %s | %s |\n", quantile, medianAndRange(f.idle[i], "%.2f"),
			medianAndRange(f.duringMaintenance[i], "%.2f"), medianAndRange(ratios(f.duringMaintenance[i], f.idle[i]), "%.2f"))
	}
	fmt.Printf("\n%d puts/s of %d B over %d keys; %.1f MB were moved and %d checkpoints taken during the puts.\n",
		compactionPutsPerSecond, compactionValueBytes, compactionKeys, float64(f.movedBytes)/1e6, f.checkpoints)
	return nil
}

// compactionRound measures one new store. Half of its log is dead data.
func (b *bench) compactionRound(f *compactionResults, round int, withMaintenance bool) error {
	options := durable.Options{}
	if !withMaintenance { // limits so high that no maintenance is due
		options.Maintenance = plan.Limits{MinCheckpointLogBytes: 1 << 40, GarbageRatio: 1e6, PendingDropRatio: 1e6}
	}
	path := filepath.Join(b.dir, fmt.Sprint("compaction-", withMaintenance, round))
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
	if withMaintenance {
		figures = f.duringMaintenance
		f.movedBytes += after.MovedBytes - before.MovedBytes
		f.checkpoints += after.Checkpoints - before.Checkpoints
	}
	for i, quantile := range compactionQuantiles {
		figures[i] = append(figures[i], float64(latencies.ValueAtQuantile(quantile))/1e6)
	}
	return store.Close()
}

// overwriteOnce puts twice as many values as there are keys, so that about half of the log
// is dead data.
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

// measurePuts runs puts at a fixed rate, independent of their latencies (open loop). It
// returns the latencies in nanoseconds, measured from the time each put was due.
func (b *bench) measurePuts(store *durable.Store, rng *rand.Rand) (*hdrhistogram.Histogram, error) {
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	start := time.Now()
	count := int(compactionDurationFactor * b.loadDuration.Seconds() * compactionPutsPerSecond)
	for i := range count {
		due := start.Add(time.Duration(i) * time.Second / compactionPutsPerSecond)
		time.Sleep(time.Until(due))
		if err := store.Put(compactionKey(rng), make([]byte, compactionValueBytes)); err != nil {
			return nil, err
		}
		latencies.RecordValue(int64(time.Since(due)))
	}
	return latencies, nil
}
