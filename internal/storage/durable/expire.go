package durable

// Expire deletes up to limit keys that have expired at now, buffered, and returns
// how many. Keys that are written again meanwhile stay.
func (s *Store) Expire(now int64, limit int) (int, error) {
	var b Batch
	s.mu.RLock()
	s.index.expirations.Scan(func(x expiration) bool {
		if x.expiry > now || b.Len() >= limit || b.Bytes() > s.options.MaxGroupBytes {
			return false
		}
		if e, ok := s.index.tree.Get(searchKey(x.key)); ok {
			b.expire(x.key, e.version)
		}
		return true
	})
	s.mu.RUnlock()
	if b.Len() == 0 {
		return 0, nil
	}
	_, err := s.Apply(&b, Buffered)
	return b.Len(), err
}
