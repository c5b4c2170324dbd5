package faultfs

import (
	"fmt"
	"io"
	"syscall"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Faults of an Injector.
const (
	// DiskFull fails every create and write with ENOSPC.
	DiskFull = "full"
	// FailWrites fails every create and write with EIO.
	FailWrites = "write"
	// FailSyncs fails every sync with EIO.
	FailSyncs = "sync"
)

// Injector adds faults to another folder, such as a real one.
type Injector struct {
	vfs.FS
	// ActiveFault returns the fault to inject, or "" for none. It is called before each
	// create, write and sync, from any goroutine.
	ActiveFault func() string
}

var _ vfs.FS = (*Injector)(nil)

// injectedError returns the error that the active fault causes for an operation, or nil.
func (i *Injector) injectedError(op, name string) error {
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

// Open opens an existing file.
func (i *Injector) Open(name string) (vfs.File, error) {
	f, err := i.FS.Open(name)
	return i.wrapFile(f, name, err)
}

// Create creates a file, or truncates an existing one, unless a fault is active.
func (i *Injector) Create(name string) (vfs.File, error) {
	if err := i.injectedError("create", name); err != nil {
		return nil, err
	}
	f, err := i.FS.Create(name)
	return i.wrapFile(f, name, err)
}

// SyncDir makes created, renamed and removed file names durable, unless a fault is
// active.
func (i *Injector) SyncDir() error {
	if err := i.injectedError("sync", "."); err != nil {
		return err
	}
	return i.FS.SyncDir()
}

// Lock acquires the folder's lock. No fault is injected.
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
	if err := f.injector.injectedError("write", f.name); err != nil {
		return 0, err
	}
	return f.File.WriteAt(b, offset)
}

// Sync syncs, unless a fault is active.
func (f *injectedFile) Sync() error {
	if err := f.injector.injectedError("sync", f.name); err != nil {
		return err
	}
	return f.File.Sync()
}
