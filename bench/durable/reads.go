package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"time"

	"github.com/tidwall/btree"
)

// open measures opening a large store of small records, and the memory that holds.
func (b *bench) open() error {
	fmt.Printf("\n## Opening a store of %d records (16 B keys, 32 B values)\n\n| engine | open and read one, ms | heap, B a key | file, MB |\n| --- | --- | --- | --- |\n", b.keys)
	key := func(i int) []byte { return fmt.Appendf(nil, "rec/%012d", i) }
	value := func(i int) []byte { return fmt.Appendf(nil, "%032d", i) }
	for i, e := range engines {
		if e.name == "bbolt Batch" {
			continue
		}
		path := filepath.Join(b.dir, fmt.Sprint("open-", i))
		s, err := e.open(path)
		if err != nil {
			return err
		}
		if err := s.load(b.keys, key, value); err != nil {
			return err
		}
		if d, ok := s.(durableEngine); ok {
			for d.Stats().LogBytesSinceCheckpoint > d.Stats().CheckpointBytes { // as upkeep leaves it
				time.Sleep(100 * time.Millisecond)
			}
		}
		if err := s.close(); err != nil {
			return err
		}
		var took []float64
		bytes := 0.0
		for range b.rounds {
			before := heap()
			begin := time.Now()
			s, err := e.open(path)
			if err != nil {
				return err
			}
			if d, ok := s.(durableEngine); ok {
				if _, err := d.Get(key(b.keys/2), 0); err != nil {
					return err
				}
			}
			took = append(took, time.Since(begin).Seconds()*1000)
			bytes = float64(int64(heap())-int64(before)) / float64(b.keys)
			runtime.KeepAlive(s)
			if err := s.close(); err != nil {
				return err
			}
		}
		size, err := sizeOf(path)
		if err != nil {
			return err
		}
		fmt.Printf("| %s | %s | %.0f | %.1f |\n", e.name, span(took, "%.1f"), bytes, float64(size)/1e6)
		os.RemoveAll(path)
	}
	return nil
}

func sizeOf(path string) (sum int64, err error) {
	err = filepath.WalkDir(path, func(_ string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			sum += info.Size()
		}
		return err
	})
	return sum, err
}

// item has the size of an index entry.
type item struct {
	key string
	_   [4]uint64
}

// index compares the persistent tree with plain structures, for what an index does.
func (b *bench) index() error {
	n := b.keys / 4
	fmt.Printf("\n## Index structures, %d keys\n\n| structure | insert, ns | look-up, ns | overwrite, ns | copy for a checkpoint, us | sorted walk, ns a key | B a key |\n| --- | --- | --- | --- | --- | --- | --- |\n", n)
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("rec/%012d", uint64(i)*0x9e3779b97f4a7c15%1e12)
	}
	var sink int
	per := func(begin time.Time, n int) float64 { return float64(time.Since(begin).Nanoseconds()) / float64(n) }
	report := func(name string, build func() any, insert, get, set func(s any, i int), cp func(s any) any, walk func(s any)) {
		before := heap()
		s := build()
		begin := time.Now()
		for i := range keys {
			insert(s, i)
		}
		ins := per(begin, n)
		bytes := float64(int64(heap())-int64(before)) / float64(n)
		begin = time.Now()
		for i := range keys {
			get(s, i)
		}
		look := per(begin, n)
		begin = time.Now()
		c := cp(s)
		copied := float64(time.Since(begin).Nanoseconds()) / 1000
		begin = time.Now()
		for i := range keys {
			set(s, i)
		}
		over := per(begin, n)
		begin = time.Now()
		walk(c)
		fmt.Printf("| %s | %.0f | %.0f | %.0f | %.1f | %.0f | %.0f |\n", name, ins, look, over, copied, per(begin, n), bytes)
		runtime.KeepAlive(s)
	}
	type tree = *btree.BTreeG[item]
	set := func(s any, i int) { s.(tree).Set(item{key: keys[i]}) }
	report("persistent B-tree (used)", func() any {
		return btree.NewBTreeGOptions(func(a, b item) bool { return a.key < b.key }, btree.Options{NoLocks: true})
	}, set, func(s any, i int) {
		if _, ok := s.(tree).Get(item{key: keys[i]}); ok {
			sink++
		}
	}, set, func(s any) any { return s.(tree).Copy() }, func(s any) { s.(tree).Scan(func(item) bool { sink++; return true }) })

	type plain = map[string]item
	put := func(s any, i int) { s.(plain)[keys[i]] = item{key: keys[i]} }
	report("map, copied and sorted", func() any { return plain{} }, put, func(s any, i int) {
		if _, ok := s.(plain)[keys[i]]; ok {
			sink++
		}
	}, put, func(s any) any {
		c := make(plain, n)
		for k, v := range s.(plain) {
			c[k] = v
		}
		return c
	}, func(s any) {
		all := make([]item, 0, n)
		for _, v := range s.(plain) {
			all = append(all, v)
		}
		slices.SortFunc(all, func(a, b item) int {
			if a.key < b.key {
				return -1
			}
			return 1
		})
		sink += len(all)
	})

	type list struct{ v []item }
	find := func(s any, i int) (int, bool) {
		return sort.Find(len(s.(*list).v), func(j int) int {
			switch k := s.(*list).v[j].key; {
			case keys[i] < k:
				return -1
			case keys[i] > k:
				return 1
			}
			return 0
		})
	}
	report("sorted slice", func() any { return &list{} }, func(s any, i int) {
		l := s.(*list)
		if at, ok := find(s, i); !ok {
			l.v = slices.Insert(l.v, at, item{key: keys[i]})
		}
	}, func(s any, i int) {
		if _, ok := find(s, i); ok {
			sink++
		}
	}, func(s any, i int) {
		if at, ok := find(s, i); ok {
			s.(*list).v[at] = item{key: keys[i]}
		}
	}, func(s any) any { return &list{slices.Clone(s.(*list).v)} }, func(s any) { sink += len(s.(*list).v) })
	return nil
}
