// Package vfs is the only way in which the durable store reaches files: one flat
// folder, positioned reads and writes, and the two kinds of sync that durability
// rests on. Dir is a real folder; internal/storage/durable/faultfs fails on cue.
package vfs

import (
	"errors"
	"io"
)

// ErrLocked means that another process, or another open store, has the folder.
var ErrLocked = errors.New("folder is in use by another process")

// FS is one folder without sub-folders. Names hold no separator. Errors of a
// missing file match fs.ErrNotExist, those of a full disk match syscall.ENOSPC.
type FS interface {
	// Open opens a file that exists.
	Open(name string) (File, error)
	// Create makes a file, or empties one that exists.
	Create(name string) (File, error)
	Remove(name string) error
	// Rename replaces the target at once, but lastingly only after SyncDir.
	Rename(from, to string) error
	// List gives all files, in the order of their names.
	List() ([]FileInfo, error)
	// SyncDir makes what was created, renamed and removed last.
	SyncDir() error
	// Lock takes the folder, or gives ErrLocked at once.
	Lock(name string) (io.Closer, error)
}

// File is an open file. What was written lasts only after Sync.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
	Size() (int64, error)
}

// Info is a file's name and length in bytes.
type FileInfo struct {
	Name string
	Size int64
}
