// Package atomicfile writes files that are there whole, on disk, or not at all.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// WriteNew writes a file that must not be there yet.
func WriteNew(path string, text []byte) (err error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(path))
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
