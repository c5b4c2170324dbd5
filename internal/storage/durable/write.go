package durable

// Level is what Apply waits for.
type Level int

const (
	// Synced means that the batch is on disk when Apply returns.
	Synced Level = iota
	// Buffered means that the batch is written, and seen by readers, but a crash of
	// the machine may lose it until a later sync (after plan.Limits.MaxUnsyncedAge at
	// the latest). A crash of the process alone loses nothing.
	Buffered
)

// request is one batch, or one function to run, that waits for the committer.
type request struct {
	batch        *Batch
	level        Level
	maintenance  bool         // of the store itself: written without plan.Limits.Admits
	run          func() error // to run in place of writing a batch; nil for a batch
	done         func(seq uint64, err error)
	header       batchHeader // as it was written
	bufferOffset int         // of the batch, in the group's buffer
}

// Apply writes a batch, and returns its sequence number once the level holds. An
// error that matches ErrReadOnly leaves open whether the batch will be there when
// the store is next opened; with any other error it is not there.
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

// Submit is Apply without waiting: done is called once, usually by the committer,
// which it must not block. The batch must not be changed until then.
// Submit blocks while the queue is full.
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

// Put writes one key, synced.
func (s *Store) Put(key, value []byte) error {
	var b Batch
	b.Put(key, value, 0)
	_, err := s.Apply(&b, Synced)
	return err
}

// Delete deletes one key, synced.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	_, err := s.Apply(&b, Synced)
	return err
}

// Sync returns when all that was buffered is on disk.
func (s *Store) Sync() error { return s.runInCommitter(s.syncLog) }

// runInCommitter has the committer run a function between two groups.
func (s *Store) runInCommitter(run func() error) error {
	done := make(chan error, 1)
	s.submit(&request{run: run, done: func(_ uint64, err error) { done <- err }})
	return <-done
}
