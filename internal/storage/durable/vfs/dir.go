package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Dir is a folder in the operating system's file system. It implements FS.
type Dir struct {
	path     string
	readOnly bool
}

// OpenDir opens a folder, and creates it with mode 0700 if it does not exist. Its parent
// must exist.
func OpenDir(path string) (*Dir, error) {
	if err := os.Mkdir(path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, err
	}
	return &Dir{path: path}, checkDir(path)
}

// OpenDirReadOnly opens a folder read-only: files are opened for reading only, and the
// lock is acquired only if the lock file exists.
func OpenDirReadOnly(path string) (*Dir, error) {
	return &Dir{path: path, readOnly: true}, checkDir(path)
}

func checkDir(path string) error {
	switch info, err := os.Stat(path); {
	case err != nil:
		return err
	case !info.IsDir():
		return fmt.Errorf("%s: %w", path, syscall.ENOTDIR)
	}
	return nil
}

func (d *Dir) fullPath(name string) string { return filepath.Join(d.path, name) }

// Open opens an existing file.
func (d *Dir) Open(name string) (File, error) {
	mode := os.O_RDWR
	if d.readOnly {
		mode = os.O_RDONLY
	}
	return wrapFile(os.OpenFile(d.fullPath(name), mode, 0))
}

// Create creates a file with mode 0600, or truncates an existing one.
func (d *Dir) Create(name string) (File, error) {
	if d.readOnly {
		return nil, &fs.PathError{Op: "create", Path: d.fullPath(name), Err: syscall.EROFS}
	}
	return wrapFile(os.OpenFile(d.fullPath(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600))
}

// Remove removes a file.
func (d *Dir) Remove(name string) error { return os.Remove(d.fullPath(name)) }

// Rename renames a file, and replaces an existing target atomically.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.fullPath(from), d.fullPath(to)) }

// List returns all regular files, sorted by name.
func (d *Dir) List() ([]FileInfo, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var list []FileInfo
	for _, e := range entries {
		if !e.Type().IsRegular() {
			continue
		}
		info, err := e.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed concurrently
		}
		if err != nil {
			return nil, err
		}
		list = append(list, FileInfo{Name: e.Name(), Size: info.Size()})
	}
	return list, nil
}

// SyncDir makes created, renamed and removed file names durable.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock acquires an advisory lock (flock), which the kernel releases when the process
// exits.
func (d *Dir) Lock(name string) (io.Closer, error) {
	mode := os.O_RDWR | os.O_CREATE
	if d.readOnly {
		mode = os.O_RDONLY
	}
	f, err := os.OpenFile(d.fullPath(name), mode, 0o600)
	if d.readOnly && errors.Is(err, fs.ErrNotExist) {
		return io.NopCloser(nil), nil
	}
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", d.path, ErrLocked)
		}
		return nil, err
	}
	return f, nil
}

// osFile adds Sync and Size to an os.File.
type osFile struct{ *os.File }

func wrapFile(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Sync makes the content and the length durable, but not the file times.
func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// Size returns the length in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
