// Package vfs is the file system interface of the durable store: one flat folder,
// reads and writes at offsets, and the two kinds of sync that durability depends on. Dir
// is a real folder; internal/storage/durable/faultfs has folders with injected faults.
package vfs

import (
	"errors"
	"io"
)

// ErrLocked means that another process or another open store holds the folder's lock.
var ErrLocked = errors.New("folder is in use by another process")

// FS is one folder without subfolders. File names contain no separator. Implementations
// are safe for concurrent use. The error for a missing file matches fs.ErrNotExist, the
// error for a full disk matches syscall.ENOSPC.
type FS interface {
	// Open opens an existing file.
	Open(name string) (File, error)
	// Create creates a file, or truncates an existing one.
	Create(name string) (File, error)
	// Remove removes a file. The removal is durable after SyncDir.
	Remove(name string) error
	// Rename renames a file, and replaces an existing target atomically. The change is
	// durable after SyncDir.
	Rename(from, to string) error
	// List returns all files, sorted by name.
	List() ([]FileInfo, error)
	// SyncDir makes created, renamed and removed file names durable.
	SyncDir() error
	// Lock acquires the folder's lock, or fails with ErrLocked without waiting. Closing
	// the result releases the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file. Writes are durable only after Sync.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the length in bytes.
	Truncate(size int64) error
	// Sync makes the content and the length durable.
	Sync() error
	// Size returns the length in bytes.
	Size() (int64, error)
}

// FileInfo is a file's name and length.
type FileInfo struct {
	Name string
	Size int64 // bytes
}
