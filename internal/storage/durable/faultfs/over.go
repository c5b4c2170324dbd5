package faultfs

import (
	"fmt"
	"io"
	"syscall"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Cues for Over.
const (
	DiskFull   = "full"  // files can't grow, nor new ones be made
	FailWrites = "write" // every write fails
	FailSyncs  = "sync"  // every sync fails
)

// Over is another folder, such as a real one, that fails while a cue is given.
type Injector struct {
	vfs.FS
	ActiveFault func() string // "" for none; asked at each step that changes something
}

func (o *Injector) fails(op, name string) error {
	cue := o.ActiveFault()
	switch {
	case cue == DiskFull && (op == "create" || op == "write"):
		return fmt.Errorf("%s %s: %w", op, name, syscall.ENOSPC)
	case cue == FailWrites && (op == "create" || op == "write"), cue == FailSyncs && op == "sync":
		return fmt.Errorf("%s %s: %w", op, name, syscall.EIO)
	}
	return nil
}

// Open opens a file.
func (o *Injector) Open(name string) (vfs.File, error) {
	f, err := o.FS.Open(name)
	return o.file(f, name, err)
}

// Create makes a file.
func (o *Injector) Create(name string) (vfs.File, error) {
	if err := o.fails("create", name); err != nil {
		return nil, err
	}
	f, err := o.FS.Create(name)
	return o.file(f, name, err)
}

// SyncDir syncs the folder.
func (o *Injector) SyncDir() error {
	if err := o.fails("sync", "."); err != nil {
		return err
	}
	return o.FS.SyncDir()
}

// Lock takes the folder.
func (o *Injector) Lock(name string) (io.Closer, error) { return o.FS.Lock(name) }

func (o *Injector) file(f vfs.File, name string, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &overFile{f, o, name}, nil
}

type overFile struct {
	vfs.File
	o    *Injector
	name string
}

func (f *overFile) WriteAt(b []byte, at int64) (int, error) {
	if err := f.o.fails("write", f.name); err != nil {
		return 0, err
	}
	return f.File.WriteAt(b, at)
}

func (f *overFile) Sync() error {
	if err := f.o.fails("sync", f.name); err != nil {
		return err
	}
	return f.File.Sync()
}
