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
	"slices"
	"strings"
	"time"
)

// bench is what all measurements share.
type bench struct {
	dir    string
	rounds int
	keys   int
	span   time.Duration
}

func main() {
	log.SetFlags(0)
	b := bench{}
	only := ""
	flag.StringVar(&b.dir, "dir", "", "folder for the files (default: a temporary one)")
	flag.IntVar(&b.rounds, "rounds", 3, "how often each measurement is repeated")
	flag.IntVar(&b.keys, "keys", 1_000_000, "keys of the large stores")
	flag.DurationVar(&b.span, "span", time.Second, "length of each measurement of writes")
	flag.StringVar(&only, "only", "puts,compaction,open,space,index", "which tables")
	flag.Parse()
	dir, err := os.MkdirTemp(b.dir, "durable-bench")
	if err != nil {
		log.Fatal(err)
	}
	b.dir = dir
	defer os.RemoveAll(dir)
	fmt.Printf("%s, %d cores, %s; %d rounds\n", runtime.Version(), runtime.NumCPU(), runtime.GOARCH, b.rounds)
	tables := map[string]func() error{"puts": b.puts, "compaction": b.compaction, "open": b.open, "space": b.space, "index": b.index}
	for name := range strings.SplitSeq(only, ",") {
		run := tables[name]
		if run == nil {
			log.Fatalf("no table %q", name)
		}
		if err := run(); err != nil {
			log.Fatalf("%s: %v", name, err)
		}
	}
}

// spread is the least, middle and largest of some figures.
func spread(v []float64) (least, median, most float64) {
	v = slices.Clone(v)
	slices.Sort(v)
	return v[0], v[len(v)/2], v[len(v)-1]
}

func span(v []float64, format string) string {
	a, b, c := spread(v)
	return fmt.Sprintf(format+" ("+format+" to "+format+")", b, a, c)
}

// ratios divides round by round.
func ratios(a, b []float64) []float64 {
	r := make([]float64, len(a))
	for i := range a {
		r[i] = a[i] / b[i]
	}
	return r
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
