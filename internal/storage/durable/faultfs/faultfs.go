// Package faultfs is a folder in memory that fails on cue. It keeps apart what was
// synced and what was only written, so that a crash may lose, keep or tear whatever
// no sync has covered, as a disk and its file system may.
package faultfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"oxbowbridge/internal/storage/durable/vfs"
)

const sector = 512 // bytes that a disk writes whole or not at all

// Fault is what a step does instead of its work.
type Fault int

const (
	NoFault    Fault = iota
	Crash            // this step and all that follow fail; take the folder from Crashed
	IOError          // the step fails
	ShortWrite       // a write stops half way with EIO; other steps fail
)

// FS is a folder in memory. Its zero value is empty, and never fails.
type FS struct {
	mu      sync.Mutex
	files   map[string]*inode
	synced  map[string]*inode // the folder as of the last SyncDir
	pending []change
	locked  bool
	steps   int
	crashed bool

	// At decides on each step that changes something, counted from 1; op is
	// "create", "write", "truncate", "sync", "rename", "remove" or "syncdir".
	FaultAt func(step int, op, name string) Fault
	// Capacity, if not 0, is the sum of all files' lengths beyond which writes get ENOSPC.
	Capacity int64
}

// change is one step on the folder: names that go and a name that comes.
type change struct {
	gone string
	name string
	to   *inode
}

type inode struct {
	data    []byte
	synced  []byte
	pending []write
}

// write is what was written at off, or a new length if data is nil.
type write struct {
	off  int64
	data []byte
}

func (f *FS) step(op, name string) error {
	if f.crashed {
		return fmt.Errorf("%s %s: crashed: %w", op, name, syscall.EIO)
	}
	f.steps++
	if f.FaultAt == nil {
		return nil
	}
	switch f.FaultAt(f.steps, op, name) {
	case Crash:
		f.crashed = true
	case IOError:
	case ShortWrite:
		return errShort
	default:
		return nil
	}
	return fmt.Errorf("%s %s: %w", op, name, syscall.EIO)
}

var errShort = fmt.Errorf("short: %w", syscall.EIO)

// Steps is how many steps were taken that change something.
func (f *FS) Steps() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.steps
}

func (f *FS) init() {
	if f.files == nil {
		f.files, f.synced = map[string]*inode{}, map[string]*inode{}
	}
}

// Crashed is the folder as a new process may find it after the power went. What no
// sync covered is lost if keep is 0, there if keep is 1, and else any part of it,
// by sectors and by names, with that likelihood.
func (f *FS) AfterCrash(rng *rand.Rand, keep float64) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	kept := func() bool { return rng.Float64() < keep }
	names := map[string]*inode{}
	for name, n := range f.synced {
		names[name] = n
	}
	for _, c := range f.pending {
		if !kept() {
			continue
		}
		if c.gone != "" {
			delete(names, c.gone)
		}
		if c.to != nil {
			names[c.name] = c.to
		}
	}
	out := &FS{files: map[string]*inode{}, synced: map[string]*inode{}}
	for _, name := range sorted(names) {
		n := names[name]
		data := slices.Clone(n.synced)
		for _, w := range n.pending {
			if w.data == nil {
				if kept() {
					data = resized(data, w.off)
				}
				continue
			}
			for from := int64(0); from < int64(len(w.data)); {
				to := min(int64(len(w.data)), (w.off+from)/sector*sector+sector-w.off)
				if kept() {
					data = put(data, w.off+from, w.data[from:to])
				}
				from = to
			}
		}
		out.set(name, data)
	}
	return out
}

// Image is each file's bytes as they stand, synced or not.
func (f *FS) Image() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]byte{}
	for name, n := range f.files {
		out[name] = slices.Clone(n.data)
	}
	return out
}

// FromImage is a folder of these files, all synced.
func FromImage(image map[string][]byte) *FS {
	f := &FS{}
	f.init()
	for name, data := range image {
		f.set(name, slices.Clone(data))
	}
	return f
}

func (f *FS) set(name string, data []byte) {
	n := &inode{data: data, synced: slices.Clone(data)}
	f.files[name], f.synced[name] = n, n
}

func (f *FS) used() (sum int64) {
	for _, n := range f.files {
		sum += int64(len(n.data))
	}
	return sum
}

func (f *FS) Open(name string) (vfs.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.files[name]; n != nil {
		return &file{f, n, name}, nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
}

func (f *FS) Create(name string) (vfs.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if err := f.step("create", name); err != nil {
		return nil, err
	}
	n := f.files[name]
	if n == nil {
		n = &inode{}
		f.files[name] = n
		f.pending = append(f.pending, change{name: name, to: n})
	} else {
		n.data = nil
		n.pending = append(n.pending, write{})
	}
	return &file{f, n, name}, nil
}

func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step("remove", name); err != nil {
		return err
	}
	if f.files[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(f.files, name)
	f.pending = append(f.pending, change{gone: name})
	return nil
}

func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.step("rename", to); err != nil {
		return err
	}
	n := f.files[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(f.files, from)
	f.files[to] = n
	f.pending = append(f.pending, change{gone: from, name: to, to: n})
	return nil
}

func (f *FS) List() ([]vfs.FileInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []vfs.FileInfo
	for _, name := range sorted(f.files) {
		list = append(list, vfs.FileInfo{Name: name, Size: int64(len(f.files[name].data))})
	}
	return list, nil
}

func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if err := f.step("syncdir", ""); err != nil {
		return err
	}
	f.synced = map[string]*inode{}
	for name, n := range f.files {
		f.synced[name] = n
	}
	f.pending = nil
	return nil
}

func (f *FS) Lock(string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, vfs.ErrLocked
	}
	f.locked = true
	return unlock{f}, nil
}

type unlock struct{ f *FS }

func (u unlock) Close() error {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	u.f.locked = false
	return nil
}

type file struct {
	f    *FS
	n    *inode
	name string
}

func (o *file) ReadAt(p []byte, off int64) (int, error) {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	if off >= int64(len(o.n.data)) {
		return 0, io.EOF
	}
	n := copy(p, o.n.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (o *file) WriteAt(p []byte, off int64) (int, error) {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	err := o.f.step("write", o.name)
	if errors.Is(err, errShort) {
		p = p[:len(p)/2]
	} else if err != nil {
		return 0, err
	}
	if c := o.f.Capacity; c > 0 {
		grow := max(0, off+int64(len(p))-int64(len(o.n.data)))
		if room := max(0, c-o.f.used()); grow > room { // as a disk does: what fits is written
			p = p[:max(0, int64(len(p))-(grow-room))]
			err = &fs.PathError{Op: "write", Path: o.name, Err: syscall.ENOSPC}
		}
	}
	if len(p) > 0 {
		o.n.data = put(o.n.data, off, p)
		o.n.pending = append(o.n.pending, write{off, slices.Clone(p)})
	}
	return len(p), err
}

func (o *file) Truncate(size int64) error {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	if err := o.f.step("truncate", o.name); err != nil {
		return err
	}
	o.n.data = resized(o.n.data, size)
	o.n.pending = append(o.n.pending, write{off: size})
	return nil
}

func (o *file) Sync() error {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	if err := o.f.step("sync", o.name); err != nil {
		return err
	}
	o.n.synced, o.n.pending = slices.Clone(o.n.data), nil
	return nil
}

func (o *file) Size() (int64, error) {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	return int64(len(o.n.data)), nil
}

func (o *file) Close() error { return nil }

func put(data []byte, off int64, p []byte) []byte {
	if end := off + int64(len(p)); end > int64(len(data)) {
		data = resized(data, end)
	}
	copy(data[off:], p)
	return data
}

func resized(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

func sorted(m map[string]*inode) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
