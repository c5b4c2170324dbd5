package faultfs

import (
	"io"
	"io/fs"
	"maps"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Open opens an existing file.
func (f *FS) Open(name string) (vfs.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.files[name]; n != nil {
		return &memFile{f, n, name}, nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
}

// Create creates a file, or truncates an existing one.
func (f *FS) Create(name string) (vfs.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if err := f.checkFault("create", name); err != nil {
		return nil, err
	}
	n := f.files[name]
	if n == nil {
		n = &inode{}
		f.files[name] = n
		f.pending = append(f.pending, dirChange{added: name, target: n})
	} else {
		n.data = nil
		n.pending = append(n.pending, pendingWrite{})
	}
	return &memFile{f, n, name}, nil
}

// Remove removes a file. The removal is durable after SyncDir.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkFault("remove", name); err != nil {
		return err
	}
	if f.files[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(f.files, name)
	f.pending = append(f.pending, dirChange{removed: name})
	return nil
}

// Rename renames a file, and replaces an existing target. The change is durable after
// SyncDir.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkFault("rename", to); err != nil {
		return err
	}
	n := f.files[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(f.files, from)
	f.files[to] = n
	f.pending = append(f.pending, dirChange{removed: from, added: to, target: n})
	return nil
}

// List returns all files, sorted by name.
func (f *FS) List() ([]vfs.FileInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []vfs.FileInfo
	for _, name := range sortedNames(f.files) {
		list = append(list, vfs.FileInfo{Name: name, Size: int64(len(f.files[name].data))})
	}
	return list, nil
}

// SyncDir makes created, renamed and removed file names durable.
func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if err := f.checkFault("syncdir", ""); err != nil {
		return err
	}
	f.synced = maps.Clone(f.files)
	f.pending = nil
	return nil
}

// Lock acquires the folder's only lock; the name is ignored.
func (f *FS) Lock(string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, vfs.ErrLocked
	}
	f.locked = true
	return folderLock{f}, nil
}

type folderLock struct{ fs *FS }

// Close releases the lock.
func (u folderLock) Close() error {
	u.fs.mu.Lock()
	defer u.fs.mu.Unlock()
	u.fs.locked = false
	return nil
}

// usedBytes returns the total length of all files. The caller holds the lock.
func (f *FS) usedBytes() (total int64) {
	for _, n := range f.files {
		total += int64(len(n.data))
	}
	return total
}
