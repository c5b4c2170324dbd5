package durable

import "oxbowbridge/internal/storage/durable/plan"

// measureFolder adds up the files of the folder.
func (s *Store) measureFolder() error {
	list, err := s.fs.List()
	if err != nil {
		return err
	}
	total := int64(0)
	for _, f := range list {
		total += f.Size
		if f.Name == reserveName && f.Size >= int64(s.options.ReserveBytes) {
			s.reserveOnDisk.Store(true)
		}
	}
	s.usedBytes.Store(total)
	return nil
}

func (s *Store) space() plan.Space {
	return plan.Space{
		UsedBytes:       s.usedBytes.Load(),
		CheckpointBytes: s.checkpointBytes.Load(),
		LiveBytes:       s.liveBytes.Load(),
		ReserveReleased: s.reserveReleased.Load(),
	}
}

// releaseReserve gives the reserve to deletes and maintenance, and reports whether
// there was one.
func (s *Store) releaseReserve() bool {
	if !s.reserveOnDisk.CompareAndSwap(true, false) {
		return false
	}
	s.reserveReleased.Store(true)
	if s.fs.Remove(reserveName) != nil {
		return false
	}
	s.usedBytes.Add(-int64(s.options.ReserveBytes))
	return true
}

// restoreReserve sets aside the space that lets deletes work when the disk is full.
func (s *Store) restoreReserve() error {
	if err := writeFile(s.fs, reserveName, make([]byte, s.options.ReserveBytes)); err != nil {
		s.fs.Remove(reserveName)
		return err
	}
	s.usedBytes.Add(int64(s.options.ReserveBytes))
	s.reserveOnDisk.Store(true)
	s.reserveReleased.Store(false)
	return nil
}
