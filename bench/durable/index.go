package main

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/tidwall/btree"
)

// indexItem has the size of an entry of the store's index.
type indexItem struct {
	key string
	_   [4]uint64
}

// indexStructure is a data structure for an index.
type indexStructure interface {
	insert(key string)
	contains(key string) bool
	overwrite(key string)
	// copy returns a copy that a checkpoint can read during further writes.
	copy() indexStructure
	// walk visits all keys in ascending order, and returns their number.
	walk() int
}

// index compares the persistent B-tree with a map and a sorted slice, for the operations
// of an index.
func (b *bench) index() error {
	count := b.keys / 4
	fmt.Printf("\n## Index structures, %d keys\n\n"+
		"| structure | insert, ns | look-up, ns | overwrite, ns | "+
		"copy for a checkpoint, us | sorted walk, ns a key | B a key |\n"+
		"| --- | --- | --- | --- | --- | --- | --- |\n", count)
	keys := make([]string, count)
	for i := range keys {
		keys[i] = fmt.Sprintf("rec/%012d", uint64(i)*0x9e3779b97f4a7c15%1e12) // unordered
	}
	measureIndex("persistent B-tree (used)", keys, newTreeIndex)
	measureIndex("map, copied and sorted", keys, newMapIndex)
	measureIndex("sorted slice", keys, newSliceIndex)
	return nil
}

// measureIndex measures one structure and prints its row of the table.
func measureIndex(name string, keys []string, newStructure func() indexStructure) {
	before := heapBytes()
	s := newStructure()
	insert := measureNanosPerKey(keys, s.insert)
	heapPerKey := heapGrowthPerKey(before, len(keys))
	found := 0
	lookUp := measureNanosPerKey(keys, func(key string) {
		if s.contains(key) {
			found++
		}
	})
	start := time.Now()
	copied := s.copy()
	copyMicros := float64(time.Since(start).Nanoseconds()) / 1000
	overwrite := measureNanosPerKey(keys, s.overwrite)
	start = time.Now()
	walked := copied.walk()
	walk := elapsedNanosPerKey(start, len(keys))
	fmt.Printf("| %s | %.0f | %.0f | %.0f | %.1f | %.0f | %.0f |\n",
		name, insert, lookUp, overwrite, copyMicros, walk, heapPerKey)
	runtime.KeepAlive(s)
	runtime.KeepAlive(found + walked)
}

// measureNanosPerKey calls a function for each key, and returns the mean time per key in
// nanoseconds.
func measureNanosPerKey(keys []string, use func(key string)) float64 {
	start := time.Now()
	for _, key := range keys {
		use(key)
	}
	return elapsedNanosPerKey(start, len(keys))
}

func elapsedNanosPerKey(start time.Time, keys int) float64 {
	return float64(time.Since(start).Nanoseconds()) / float64(keys)
}

// treeIndex is the persistent B-tree of the store's index.
type treeIndex struct{ tree *btree.BTreeG[indexItem] }

func newTreeIndex() indexStructure {
	less := func(a, b indexItem) bool { return a.key < b.key }
	return treeIndex{btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})}
}

func (x treeIndex) insert(key string)    { x.tree.Set(indexItem{key: key}) }
func (x treeIndex) overwrite(key string) { x.insert(key) }
func (x treeIndex) copy() indexStructure { return treeIndex{x.tree.Copy()} }

func (x treeIndex) contains(key string) bool {
	_, ok := x.tree.Get(indexItem{key: key})
	return ok
}

func (x treeIndex) walk() (count int) {
	x.tree.Scan(func(indexItem) bool {
		count++
		return true
	})
	return count
}

// mapIndex is a map. A walk sorts its items.
type mapIndex map[string]indexItem

func newMapIndex() indexStructure { return mapIndex{} }

func (x mapIndex) insert(key string)    { x[key] = indexItem{key: key} }
func (x mapIndex) overwrite(key string) { x.insert(key) }

func (x mapIndex) contains(key string) bool {
	_, ok := x[key]
	return ok
}

func (x mapIndex) copy() indexStructure {
	copied := make(mapIndex, len(x))
	for key, item := range x {
		copied[key] = item
	}
	return copied
}

func (x mapIndex) walk() int {
	items := make([]indexItem, 0, len(x))
	for _, item := range x {
		items = append(items, item)
	}
	slices.SortFunc(items, compareItems)
	return len(items)
}

// sliceIndex is a sorted slice.
type sliceIndex struct{ items []indexItem }

func newSliceIndex() indexStructure { return &sliceIndex{} }

func compareItems(a, b indexItem) int { return cmp.Compare(a.key, b.key) }

func (x *sliceIndex) find(key string) (int, bool) {
	return slices.BinarySearchFunc(x.items, indexItem{key: key}, compareItems)
}

func (x *sliceIndex) insert(key string) {
	if at, ok := x.find(key); !ok {
		x.items = slices.Insert(x.items, at, indexItem{key: key})
	}
}

func (x *sliceIndex) contains(key string) bool {
	_, ok := x.find(key)
	return ok
}

func (x *sliceIndex) overwrite(key string) {
	if at, ok := x.find(key); ok {
		x.items[at] = indexItem{key: key}
	}
}

func (x *sliceIndex) copy() indexStructure { return &sliceIndex{slices.Clone(x.items)} }
func (x *sliceIndex) walk() int            { return len(x.items) }
