package durable

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"oxbowbridge/internal/storage/durable/vfs"
)

// syncError marks the error of a failed sync: the content on disk is unknown after it.
type syncError struct{ err error }

func (e syncError) Error() string { return "sync: " + e.err.Error() }
func (e syncError) Unwrap() error { return e.err }

// isDiskFull reports whether an operation failed because the disk or the quota has
// no space left.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// isCleanDiskFull reports whether the disk is full and no sync failed, so that the
// content on disk is known.
func isCleanDiskFull(err error) bool {
	return isDiskFull(err) && !errors.As(err, &syncError{})
}

// writeFile creates a small file and syncs its content. The caller syncs the folder.
func writeFile(fs vfs.FS, name string, data []byte) error {
	f, err := fs.Create(name)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, err = f.WriteAt(data, 0)
	if err == nil {
		if err = f.Sync(); err != nil {
			err = syncError{err}
		}
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// readFile reads at most maxBytes from the start of a file.
func readFile(fs vfs.FS, name string, maxBytes int64) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, min(size, maxBytes))
	return b, readFull(f, b, 0)
}

// readFull reads exactly len(b) bytes. If the file ends before that, it returns
// io.ErrUnexpectedEOF.
func readFull(f io.ReaderAt, b []byte, offset int64) error {
	n, err := f.ReadAt(b, offset)
	if n == len(b) {
		return nil
	}
	if err == nil || errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return err
}
