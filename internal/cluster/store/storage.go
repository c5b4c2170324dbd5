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

// folderOpener opens a storage folder, and makes it if it is missing.
type folderOpener func(dir string) (*raftstorage.Storage, *durable.Report, error)

// replacementMarkerSuffix follows the folder's name in that of an empty file beside it, which is there from before a folder is
// moved aside until the one that takes its place has localReplacement: a node that dies in between must not take
// that folder for new.
const replacementMarkerSuffix = ".replacement"

// openStorage opens the node's folder, or makes it. One that is damaged, or whose state has
// diverged, is moved aside as a whole, and a new one takes its place. That one never bootstraps a
// cluster: the other members must know the votes and acknowledgments of the old one.
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

// finishReplacement marks a folder that takes the place of another one, if it is not known to be marked, and only
// then removes the file that says so.
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

// moveFolderAside renames the folder to the first free name DIR.refused-N, once the file DIR.replacement is on disk.
func (s *Store) moveFolderAside(cause error) error {
	err := atomicfile.WriteNew(s.cfg.Dir+replacementMarkerSuffix, nil)
	if err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	aside := ""
	for n := 1; ; n++ {
		aside = fmt.Sprintf("%s.refused-%d", s.cfg.Dir, n)
		if _, err := os.Lstat(aside); os.IsNotExist(err) {
			break
		}
	}
	s.log.Error("storage folder set aside, node rejoins as a new member", zap.String("moved_to", aside), zap.Error(cause))
	return os.Rename(s.cfg.Dir, aside)
}

// tryOpenStorage opens the folder. Its error is durable.ErrDamaged or errDiverged if the folder
// must not be used any more.
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
