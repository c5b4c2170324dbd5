package faultfs

import (
	"errors"
	"io"
	"io/fs"
	"slices"
	"syscall"
)

// memFile is an open file of an FS.
type memFile struct {
	fs    *FS
	inode *inode
	name  string
}

// ReadAt reads the current content, including unsynced writes.
func (m *memFile) ReadAt(p []byte, offset int64) (int, error) {
	m.fs.mu.Lock()
	defer m.fs.mu.Unlock()
	if offset >= int64(len(m.inode.data)) {
		return 0, io.EOF
	}
	n := copy(p, m.inode.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt writes as many bytes as the injected fault and the capacity allow.
func (m *memFile) WriteAt(p []byte, offset int64) (int, error) {
	m.fs.mu.Lock()
	defer m.fs.mu.Unlock()
	err := m.fs.checkFault("write", m.name)
	if errors.Is(err, errShortWrite) {
		p = p[:len(p)/2]
	} else if err != nil {
		return 0, err
	}
	if excess := m.excessBytes(offset + int64(len(p))); excess > 0 { // the part that fits is written, as on a disk
		p = p[:max(0, int64(len(p))-excess)]
		err = &fs.PathError{Op: "write", Path: m.name, Err: syscall.ENOSPC}
	}
	if len(p) > 0 {
		m.inode.data = writeAt(m.inode.data, offset, p)
		m.inode.pending = append(m.inode.pending, pendingWrite{offset, slices.Clone(p)})
	}
	return len(p), err
}

// excessBytes returns the number of bytes by which the folder would exceed its capacity
// if the file had at least the given size.
func (m *memFile) excessBytes(size int64) int64 {
	if m.fs.Capacity <= 0 {
		return 0
	}
	growth := max(0, size-int64(len(m.inode.data)))
	free := max(0, m.fs.Capacity-m.fs.usedBytes())
	return max(0, growth-free)
}

// Truncate sets the length in bytes.
func (m *memFile) Truncate(size int64) error {
	m.fs.mu.Lock()
	defer m.fs.mu.Unlock()
	if err := m.fs.checkFault("truncate", m.name); err != nil {
		return err
	}
	m.inode.data = resized(m.inode.data, size)
	m.inode.pending = append(m.inode.pending, pendingWrite{offset: size})
	return nil
}

// Sync makes the content and the length durable.
func (m *memFile) Sync() error {
	m.fs.mu.Lock()
	defer m.fs.mu.Unlock()
	if err := m.fs.checkFault("sync", m.name); err != nil {
		return err
	}
	m.inode.synced = slices.Clone(m.inode.data)
	m.inode.pending = nil
	return nil
}

// Size returns the length in bytes.
func (m *memFile) Size() (int64, error) {
	m.fs.mu.Lock()
	defer m.fs.mu.Unlock()
	return int64(len(m.inode.data)), nil
}

// Close does nothing; the file remains usable.
func (m *memFile) Close() error { return nil }

// writeAt writes p to data at an offset and returns data, extended if necessary.
func writeAt(data []byte, offset int64, p []byte) []byte {
	if end := offset + int64(len(p)); end > int64(len(data)) {
		data = resized(data, end)
	}
	copy(data[offset:], p)
	return data
}

// resized returns data truncated or extended by zeros to the given size.
func resized(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}
