package faultfs

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// sectorBytes is the length of a disk sector, which a disk writes atomically.
const sectorBytes = 512

// AfterCrash returns a folder with a possible content after a power failure. Each
// unsynced sector and each unsynced change of a file name survives with the given
// probability; synced data always survives.
func (f *FS) AfterCrash(rng *rand.Rand, survivalProbability float64) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	survives := func() bool { return rng.Float64() < survivalProbability }
	names := f.namesAfterCrash(survives)
	after := &FS{files: map[string]*inode{}, synced: map[string]*inode{}}
	for _, name := range sortedNames(names) {
		after.setFile(name, names[name].afterCrash(survives))
	}
	return after
}

// namesAfterCrash applies the surviving changes of file names to the synced folder.
func (f *FS) namesAfterCrash(survives func() bool) map[string]*inode {
	names := maps.Clone(f.synced)
	for _, change := range f.pending {
		if !survives() {
			continue
		}
		if change.removed != "" {
			delete(names, change.removed)
		}
		if change.target != nil {
			names[change.added] = change.target
		}
	}
	return names
}

// afterCrash applies the surviving sectors of unsynced writes to the synced content.
func (n *inode) afterCrash(survives func() bool) []byte {
	data := slices.Clone(n.synced)
	for _, w := range n.pending {
		if w.data == nil {
			if survives() {
				data = resized(data, w.offset)
			}
			continue
		}
		for from := int64(0); from < int64(len(w.data)); {
			sectorEnd := (w.offset+from)/sectorBytes*sectorBytes + sectorBytes
			to := min(int64(len(w.data)), sectorEnd-w.offset)
			if survives() {
				data = writeAt(data, w.offset+from, w.data[from:to])
			}
			from = to
		}
	}
	return data
}

// Image returns the current content of each file, including unsynced writes.
func (f *FS) Image() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	image := map[string][]byte{}
	for name, n := range f.files {
		image[name] = slices.Clone(n.data)
	}
	return image
}

// FromImage returns a folder with these files. All of them are synced.
func FromImage(image map[string][]byte) *FS {
	f := &FS{}
	f.init()
	for name, data := range image {
		f.setFile(name, slices.Clone(data))
	}
	return f
}

// setFile adds a synced file.
func (f *FS) setFile(name string, data []byte) {
	n := &inode{data: data, synced: slices.Clone(data)}
	f.files[name] = n
	f.synced[name] = n
}

func sortedNames(files map[string]*inode) []string {
	return slices.Sorted(maps.Keys(files))
}
