// Package atomicfile writes files that exist completely, and durably, or not at all.
//
// It holds no state; its functions may be called from any goroutine. A crash in the
// middle of a call may leave a partial file, as the name exists before the content
// is synced.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// fileMode lets only the owner read and write the file.
const fileMode = 0o600

// WriteNew writes a file that must not exist yet, or fails with an error that matches
// fs.ErrExist. When it returns nil, content and name are on disk. If the content
// can't be written or synced, the file is removed.
func WriteNew(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return err
	}
	_, writeErr := f.Write(data)
	if err := errors.Join(writeErr, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(path))
	}
	return syncDir(filepath.Dir(path))
}

// syncDir makes the names in a folder durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
