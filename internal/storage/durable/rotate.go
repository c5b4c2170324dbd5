package durable

// rotateSegment seals the active segment and makes a new segment the active one. Only
// the committer may call it. The manifest names the new segment before it holds a
// batch, so that recovery detects a missing segment.
func (s *Store) rotateSegment() error {
	if err := s.syncLog(); err != nil {
		return err
	}
	old := s.logTail.segment
	end := s.logTail.end
	header := segmentHeader{
		storeID:          s.storeID,
		number:           old.number + 1,
		previousSize:     end.offset,
		previousSeq:      end.seq,
		previousChecksum: end.chainChecksum,
	}
	if err := s.createSegment(&header); err != nil {
		return err
	}
	file, err := s.fs.Open(segmentName(header.number))
	if err != nil {
		return s.enterReadOnly(err)
	}
	next := &segment{
		number:     header.number,
		file:       file,
		size:       headerLen,
		salt:       fileSalt(header.storeID, segmentFormat.kind, header.number),
		emptiedSeq: end.seq,
	}
	s.mu.Lock()
	old.sealed = true
	if old.liveValues == 0 {
		old.emptiedSeq = max(old.emptiedSeq, end.seq)
	}
	s.index.segments[next.number] = next
	s.mu.Unlock()
	s.logTail.segment = next
	s.logTail.end = position{next.number, headerLen, end.seq, header.checksum}
	s.usedBytes.Add(headerLen)
	return nil
}

// createSegment creates a segment's file and records it in the manifest. If the disk
// is full, it removes the file.
func (s *Store) createSegment(header *segmentHeader) error {
	name := segmentName(header.number)
	err := writeFile(s.fs, name, header.encode())
	if err == nil {
		err = s.fs.SyncDir()
	}
	if isCleanDiskFull(err) {
		s.fs.Remove(name)
		return err
	}
	if err != nil {
		return s.enterReadOnly(err)
	}
	err = s.updateManifest(func(m *manifest) { m.activeSegment = header.number })
	if isDiskFull(err) {
		s.fs.Remove(name)
	}
	return err
}
