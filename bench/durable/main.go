// Durable compares internal/storage/durable with bbolt and SQLite, all with every write
// synced, and its index with a map and a sorted slice:
//
//	go run ./bench/durable                 all tables, as Markdown
//	go run ./bench/durable -only puts,open
//
// Compare only ratios within one run: absolute times depend on the disk of -dir.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"runtime"
	"strings"
	"time"
)

// bench is the configuration of all measurements.
type bench struct {
	dir          string
	rounds       int
	keys         int           // number of keys of the large stores
	loadDuration time.Duration // duration of each measurement of writes
}

func main() {
	log.SetFlags(0)
	b := bench{}
	tableNames := ""
	flag.StringVar(&b.dir, "dir", "", "parent folder of the temporary files (default: the system's temporary folder)")
	flag.IntVar(&b.rounds, "rounds", 3, "number of repetitions of each measurement")
	flag.IntVar(&b.keys, "keys", 1_000_000, "number of keys of the large stores")
	flag.DurationVar(&b.loadDuration, "span", time.Second, "duration of each measurement of writes")
	flag.StringVar(&tableNames, "only", "puts,compaction,open,space,index", "comma-separated names of the tables to measure")
	flag.Parse()
	if err := b.run(tableNames); err != nil {
		log.Fatal(err)
	}
}

// run measures the tables in a comma-separated list of names, in a temporary folder.
func (b *bench) run(names string) error {
	dir, err := os.MkdirTemp(b.dir, "durable-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	b.dir = dir
	fmt.Printf("%s, %d cores, %s; %d rounds\n", runtime.Version(), runtime.NumCPU(), runtime.GOARCH, b.rounds)
	tables := map[string]func() error{
		"puts":       b.puts,
		"compaction": b.compaction,
		"open":       b.open,
		"space":      b.space,
		"index":      b.index,
	}
	for name := range strings.SplitSeq(names, ",") {
		measure := tables[name]
		if measure == nil {
			return fmt.Errorf("unknown table %q", name)
		}
		if err := measure(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
