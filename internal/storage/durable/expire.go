package durable

// Expire deletes up to limit keys that have expired at now, in one buffered batch, and
// returns the number of deletes in the batch. A key that is written concurrently is not
// deleted.
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
