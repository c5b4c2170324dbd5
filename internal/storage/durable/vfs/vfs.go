// Package vfs is the only way in which the durable store reaches files: one flat
// folder, positioned reads and writes, and the two kinds of sync that durability
// depends on. Dir is a real folder; internal/storage/durable/faultfs injects faults.
package vfs

import (
	"errors"
	"io"
)

// ErrLocked means that another process, or another open store, holds the folder's lock.
var ErrLocked = errors.New("folder is in use by another process")

// FS is one folder without sub-folders. Names hold no separator. Its methods may be
// called from many goroutines. Errors of a missing file match fs.ErrNotExist, those
// of a full disk match syscall.ENOSPC.
type FS interface {
	// Open opens a file that exists.
	Open(name string) (File, error)
	// Create makes a file, or truncates one that exists.
	Create(name string) (File, error)
	// Remove removes a file, durably after SyncDir.
	Remove(name string) error
	// Rename replaces the target atomically, durably after SyncDir.
	Rename(from, to string) error
	// List returns all files, in the order of their names.
	List() ([]FileInfo, error)
	// SyncDir makes what was created, renamed and removed durable.
	SyncDir() error
	// Lock takes the folder's lock, or fails with ErrLocked at once. Closing releases it.
	Lock(name string) (io.Closer, error)
}

// File is an open file. What was written is durable only after Sync.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the length in bytes.
	Truncate(size int64) error
	// Sync makes the content and the length durable.
	Sync() error
	// Size is the length in bytes.
	Size() (int64, error)
}

// FileInfo is a file's name and length.
type FileInfo struct {
	Name string
	Size int64 // bytes
}
