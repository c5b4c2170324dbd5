package durable

import "oxbowbridge/internal/storage/durable/plan"

// measureUsedBytes sets usedBytes to the length of all files, and checks for the reserve
// file.
func (s *Store) measureUsedBytes() error {
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

// releaseReserve removes the reserve file, so that deletes and maintenance can write. It
// reports whether space was freed.
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

// restoreReserve writes the reserve file again.
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
