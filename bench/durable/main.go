// Durable measures internal/storage/durable side by side with bbolt and SQLite (both with
// every write synced), and its index with a plain map and a sorted slice:
//
//	go run ./bench/durable                 all tables, as Markdown
//	go run ./bench/durable -only puts,open
//
// Ratios within one run count, not times: they depend on the disk under -dir.
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

// bench is what all measurements share.
type bench struct {
	dir          string
	rounds       int
	keys         int           // of the large stores
	loadDuration time.Duration // of each measurement of writes
}

func main() {
	log.SetFlags(0)
	b := bench{}
	only := ""
	flag.StringVar(&b.dir, "dir", "", "folder for the files (default: a temporary one)")
	flag.IntVar(&b.rounds, "rounds", 3, "how often each measurement is repeated")
	flag.IntVar(&b.keys, "keys", 1_000_000, "keys of the large stores")
	flag.DurationVar(&b.loadDuration, "span", time.Second, "length of each measurement of writes")
	flag.StringVar(&only, "only", "puts,compaction,open,space,index", "which tables")
	flag.Parse()
	if err := b.run(only); err != nil {
		log.Fatal(err)
	}
}

// run measures the tables of a list of names, in a temporary folder.
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
			return fmt.Errorf("no table %q", name)
		}
		if err := measure(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
