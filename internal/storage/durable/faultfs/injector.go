package faultfs

import (
	"fmt"
	"io"
	"syscall"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Faults of an Injector.
const (
	// DiskFull: files can't grow, nor new ones be made.
	DiskFull = "full"
	// FailWrites: every write fails with EIO.
	FailWrites = "write"
	// FailSyncs: every sync fails with EIO.
	FailSyncs = "sync"
)

// Injector adds faults to another folder, such as a real one.
type Injector struct {
	vfs.FS
	// ActiveFault is one of the faults, or "" for none. It is called before each
	// operation that changes something, from any goroutine.
	ActiveFault func() string
}

var _ vfs.FS = (*Injector)(nil)

// injected is the error of an operation under the active fault, or nil.
func (i *Injector) injected(op, name string) error {
	fault := i.ActiveFault()
	writes := op == "create" || op == "write"
	switch {
	case fault == DiskFull && writes:
		return fmt.Errorf("%s %s: %w", op, name, syscall.ENOSPC)
	case fault == FailWrites && writes, fault == FailSyncs && op == "sync":
		return fmt.Errorf("%s %s: %w", op, name, syscall.EIO)
	}
	return nil
}

// Open opens a file that exists.
func (i *Injector) Open(name string) (vfs.File, error) {
	f, err := i.FS.Open(name)
	return i.wrapFile(f, name, err)
}

// Create makes a file, or truncates one that exists.
func (i *Injector) Create(name string) (vfs.File, error) {
	if err := i.injected("create", name); err != nil {
		return nil, err
	}
	f, err := i.FS.Create(name)
	return i.wrapFile(f, name, err)
}

// SyncDir makes what was created, renamed and removed durable.
func (i *Injector) SyncDir() error {
	if err := i.injected("sync", "."); err != nil {
		return err
	}
	return i.FS.SyncDir()
}

// Lock takes the folder's lock. It never fails by injection.
func (i *Injector) Lock(name string) (io.Closer, error) { return i.FS.Lock(name) }

func (i *Injector) wrapFile(f vfs.File, name string, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &injectedFile{f, i, name}, nil
}

// injectedFile is an open file of an Injector.
type injectedFile struct {
	vfs.File
	injector *Injector
	name     string
}

// WriteAt writes, unless a fault is active.
func (f *injectedFile) WriteAt(b []byte, offset int64) (int, error) {
	if err := f.injector.injected("write", f.name); err != nil {
		return 0, err
	}
	return f.File.WriteAt(b, offset)
}

// Sync syncs, unless a fault is active.
func (f *injectedFile) Sync() error {
	if err := f.injector.injected("sync", f.name); err != nil {
		return err
	}
	return f.File.Sync()
}
