package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/atomicfile"
	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/vfs"
)

// folderOpener opens a storage folder, and creates it if it does not exist.
type folderOpener func(dir string) (*raftstorage.Storage, *durable.Report, error)

// replacementMarkerSuffix is appended to the folder's name to form that of an empty marker file beside it.
// The marker exists from before a folder is moved aside until its replacement stores replacementKey. If
// the process crashes in between, the marker prevents the node from treating the replacement as a new
// folder.
const replacementMarkerSuffix = ".replacement"

// openStorage opens the node's folder, or creates it. A folder that is damaged, or whose state has
// diverged, is moved aside and replaced by an empty one. A replacement never bootstraps a cluster: the
// old folder may have held votes and acknowledged entries of a cluster, which only the other members still know.
func (s *Store) openStorage() (*raftstorage.Storage, error) {
	storage, err := s.tryOpenStorage()
	if errors.Is(err, durable.ErrDamaged) || errors.Is(err, errDiverged) {
		if err := s.moveFolderAside(err); err != nil {
			return nil, fmt.Errorf("set folder aside: %w", err)
		}
		storage, err = s.tryOpenStorage()
	}
	if err != nil {
		return nil, err
	}
	if err := s.finishReplacement(storage); err != nil {
		return nil, errors.Join(fmt.Errorf("joiner flag of the new folder: %w", err), storage.Close())
	}
	return storage, nil
}

// finishReplacement stores replacementKey in a folder that replaces another one, and then deletes the
// marker file. It does nothing if there is no marker file.
func (s *Store) finishReplacement(storage *raftstorage.Storage) error {
	path := s.cfg.Dir + replacementMarkerSuffix
	if _, err := os.Lstat(path); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err := storage.PutLocal(replacementKey, []byte("1")); err != nil {
		return err
	}
	parent, err := vfs.OpenDir(filepath.Dir(s.cfg.Dir))
	if err != nil {
		return err
	}
	if err := parent.SyncDir(); err != nil {
		return err
	}
	return os.Remove(path)
}

// moveFolderAside renames the folder to the first unused name DIR.refused-N, after the marker file
// DIR.replacement is on disk.
func (s *Store) moveFolderAside(cause error) error {
	err := atomicfile.WriteNew(s.cfg.Dir+replacementMarkerSuffix, nil)
	if err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	movedTo := ""
	for n := 1; ; n++ {
		movedTo = fmt.Sprintf("%s.refused-%d", s.cfg.Dir, n)
		if _, err := os.Lstat(movedTo); os.IsNotExist(err) {
			break
		}
	}
	s.log.Error("storage folder set aside, node rejoins as a new member", zap.String("moved_to", movedTo), zap.Error(cause))
	return os.Rename(s.cfg.Dir, movedTo)
}

// tryOpenStorage opens the folder. Its error is durable.ErrDamaged or errDiverged if the folder must not
// be used any more.
func (s *Store) tryOpenStorage() (*raftstorage.Storage, error) {
	if err := os.MkdirAll(s.cfg.Dir, 0o750); err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	storage, report, err := s.openFolder(s.cfg.Dir)
	if err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	if report.Loss == durable.TailLoss {
		s.log.Info("unsynced log tail truncated", zap.Int64("truncated_bytes", report.TruncatedBytes))
	}
	diverged, err := storage.GetLocal(divergedKey)
	if err == nil && diverged != nil {
		err = errDiverged
	}
	if err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	return storage, nil
}
