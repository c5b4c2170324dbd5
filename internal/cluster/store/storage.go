package store

import (
	"errors"
	"fmt"
	"os"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable"
)

// openStorage opens the node's folder, or makes it. One that is damaged, or whose state has
// diverged, is moved aside as a whole, and a new one takes its place. That one never bootstraps a
// cluster: the other members must know the votes and acknowledgments of the old one.
func (s *Store) openStorage() (*raftstorage.Storage, error) {
	storage, err := s.tryOpenStorage()
	if !errors.Is(err, durable.ErrDamaged) && !errors.Is(err, errDiverged) {
		return storage, err
	}
	if err := s.moveFolderAside(err); err != nil {
		return nil, fmt.Errorf("set folder aside: %w", err)
	}
	if storage, err = s.tryOpenStorage(); err != nil {
		return nil, err
	}
	if err := storage.PutLocal(localReplacement, []byte("1")); err != nil {
		storage.Close()
		return nil, fmt.Errorf("joiner flag of the new folder: %w", err)
	}
	return storage, nil
}

// moveFolderAside renames the folder to the first free name DIR.refused-N.
func (s *Store) moveFolderAside(cause error) error {
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
	storage, report, err := openFolder(s.cfg.Dir)
	if err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	if report.Loss == durable.TailLoss {
		s.log.Info("unsynced log tail truncated", zap.Int64("truncated_bytes", report.TruncatedBytes))
	}
	diverged, err := storage.GetLocal(localDiverged)
	if err == nil && diverged != nil {
		err = errDiverged
	}
	if err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	return storage, nil
}
