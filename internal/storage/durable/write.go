package durable

// Level is the durability of a batch that Apply waits for.
type Level int

const (
	// Synced means that the batch is on disk when Apply returns.
	Synced Level = iota
	// Buffered means that the batch is written and visible to readers, but not synced.
	// A crash of the machine may lose it until a later sync, which maintenance starts
	// plan.Limits.MaxUnsyncedAge after the write at the latest. A crash of the process
	// alone loses nothing.
	Buffered
)

// request is a batch or a function that is queued for the committer.
type request struct {
	batch        *Batch
	level        Level
	maintenance  bool         // written by maintenance, and not subject to plan.Limits.Admits
	run          func() error // the function to run; nil for a batch
	done         func(seq uint64, err error)
	header       batchHeader // set when the batch is encoded
	bufferOffset int         // offset of the batch in the group's buffer, in bytes
}

// Apply writes a batch, and returns its sequence number once the batch has the
// durability of the level. After an error that matches ErrReadOnly it is unknown
// whether the batch will exist when the store is reopened; after any other error the
// batch does not exist.
func (s *Store) Apply(b *Batch, level Level) (uint64, error) {
	type result struct {
		seq uint64
		err error
	}
	results := make(chan result, 1)
	s.Submit(b, level, func(seq uint64, err error) { results <- result{seq, err} })
	r := <-results
	return r.seq, r.err
}

// Submit is Apply without waiting for the result, but it blocks while the queue is
// full. The callback done is called once, usually in the committer goroutine, and must
// not block. The batch must not be changed until then.
func (s *Store) Submit(b *Batch, level Level, done func(seq uint64, err error)) {
	if err := b.check(&s.options); err != nil {
		done(0, err)
		return
	}
	s.submit(&request{batch: b, level: level, done: done})
}

func (s *Store) submit(r *request) {
	s.closeMu.RLock()
	defer s.closeMu.RUnlock()
	if s.closed && !r.maintenance {
		r.done(0, ErrClosed)
		return
	}
	s.requests <- r
}

// Put sets one key without an expiry and waits for the sync.
func (s *Store) Put(key, value []byte) error {
	var b Batch
	b.Put(key, value, 0)
	_, err := s.Apply(&b, Synced)
	return err
}

// Delete deletes one key and waits for the sync.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	_, err := s.Apply(&b, Synced)
	return err
}

// Sync waits until all batches written before the call are on disk.
func (s *Store) Sync() error { return s.runInCommitter(s.syncLog) }

// runInCommitter runs a function in the committer goroutine, between two groups, and
// returns its error.
func (s *Store) runInCommitter(run func() error) error {
	done := make(chan error, 1)
	s.submit(&request{run: run, done: func(_ uint64, err error) { done <- err }})
	return <-done
}
