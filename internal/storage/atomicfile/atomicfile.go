// Package atomicfile writes files atomically and durably.
//
// It has no state, and its functions are safe for concurrent use. A crash during a call
// may leave a partial temporary file in the folder of the new file. Its name contains
// TemporaryInfix. Nothing reads it, and it may be removed.
package atomicfile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// TemporaryInfix is the part between the new file's name and random digits in the name
// of a temporary file. Only the owner may read or write a temporary file.
const TemporaryInfix = ".partial-"

// WriteNew writes a new file with data. If the file exists already, it fails with an
// error that matches fs.ErrExist. The name appears only once the content is on disk; when
// WriteNew returns nil, the name is on disk too.
func WriteNew(path string, data []byte) error {
	dir := filepath.Dir(path)
	temporary, err := writeTemporary(dir, filepath.Base(path), data)
	if err != nil {
		return err
	}
	if err := publish(temporary, path); err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	return syncDir(dir)
}

// writeTemporary writes and syncs a temporary file with a unique name, and returns its
// path.
func writeTemporary(dir, name string, data []byte) (path string, err error) {
	f, err := os.CreateTemp(dir, name+TemporaryInfix+"*")
	if err != nil {
		return "", err
	}
	_, writeErr := f.Write(data)
	if err := errors.Join(writeErr, f.Sync(), f.Close()); err != nil {
		return "", errors.Join(err, os.Remove(f.Name()))
	}
	return f.Name(), nil
}

// publish moves a temporary file to its final path. If that path exists, it fails with
// fs.ErrExist and changes neither file.
func publish(temporary, path string) error {
	err := os.Link(temporary, path)
	if errors.Is(err, fs.ErrExist) {
		return err
	}
	if err != nil { // some file systems have no hard links
		return renameNew(temporary, path)
	}
	return os.Remove(temporary)
}

// renameNew renames a file to a name that must not exist. Some network file systems
// don't support this, but support hard links.
func renameNew(from, to string) error {
	err := unix.Renameat2(unix.AT_FDCWD, from, unix.AT_FDCWD, to, unix.RENAME_NOREPLACE)
	if err != nil {
		return &os.LinkError{Op: "renameat2", Old: from, New: to, Err: err}
	}
	return nil
}

// syncDir makes the file names in a folder durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
