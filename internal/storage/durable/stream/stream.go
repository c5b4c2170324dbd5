// Package stream stores consecutively numbered entries in a durable store. Entries are
// appended at the end, read by number, and truncated at either end, as in the log of a
// replicated state machine.
//
// Each entry is one key: the stream's prefix and the entry's number in 8 bytes, big
// endian. One store can hold several streams and other keys.
//
// Only one goroutine at a time may change a stream; any goroutine may read it. Bounds
// change only after the store has acknowledged the change, so readers never see an
// entry whose write failed. Each change is one batch of the store and therefore atomic.
// Other errors of the store are returned unchanged.
package stream

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"oxbowbridge/internal/storage/durable"
)

var (
	// ErrGap means that an appended entry would not follow the last one, or that the
	// numbers of the entries in the store are not consecutive.
	ErrGap = errors.New("entry does not follow the last entry")
	// ErrEntryNotFound means that the stream has no entry with that number.
	ErrEntryNotFound = errors.New("no such entry")
)

// numberLen is the length of an entry's number in its key, in bytes.
const numberLen = 8

// Stream is a stream of numbered entries under one key prefix.
type Stream struct {
	store  *durable.Store
	prefix []byte

	mu    sync.RWMutex
	first uint64 // 0 if the stream is empty
	last  uint64 // 0 if the stream is empty
}

// Open opens the stream under a prefix. Its bounds are those of the entries in the
// store.
func Open(store *durable.Store, prefix string) (*Stream, error) {
	s := &Stream{store: store, prefix: []byte(prefix)}
	snapshot, err := store.Snapshot()
	if err != nil {
		return nil, err
	}
	defer snapshot.Close()
	var entryErr error
	scanErr := snapshot.Scan(s.key(0), s.prefixEnd(), 0, func(i durable.Item) bool {
		entryErr = s.addExisting(i.Key)
		return entryErr == nil
	})
	return s, errors.Join(scanErr, entryErr)
}

// addExisting extends the bounds by the next key in the store. It fails if the key is
// not an entry's or does not follow the last entry.
func (s *Stream) addExisting(key string) error {
	if len(key) != len(s.prefix)+numberLen {
		return fmt.Errorf("stream %q: key %q is not the key of an entry", s.prefix, key)
	}
	n := binary.BigEndian.Uint64([]byte(key[len(s.prefix):]))
	if s.last != 0 && n != s.last+1 {
		return fmt.Errorf("stream %q: %w: %d after %d", s.prefix, ErrGap, n, s.last)
	}
	if s.first == 0 {
		s.first = n
	}
	s.last = n
	return nil
}

func (s *Stream) key(n uint64) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(s.prefix), n)
}

// prefixEnd returns the first key after all keys with the prefix, or nil if there is
// none.
func (s *Stream) prefixEnd() []byte {
	end := bytes.Clone(s.prefix)
	for i := len(end) - 1; i >= 0; i-- {
		end[i]++
		if end[i] != 0 {
			return end[:i+1]
		}
	}
	return nil
}

// Bounds returns the numbers of the first and the last entry, or 0 and 0 if the stream
// is empty.
func (s *Stream) Bounds() (first, last uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.first, s.last
}

// Get returns one entry, or ErrEntryNotFound if the number is out of bounds.
func (s *Stream) Get(n uint64) ([]byte, error) {
	if first, last := s.Bounds(); n < first || n > last || n == 0 {
		return nil, fmt.Errorf("%w: %d, want %d to %d", ErrEntryNotFound, n, first, last)
	}
	entry, err := s.store.Get(s.key(n), 0)
	if errors.Is(err, durable.ErrNotFound) { // truncated concurrently
		err = fmt.Errorf("%w: %d", ErrEntryNotFound, n)
	}
	return entry, err
}

// Append appends entries; from is the number of the first one. It fails with ErrGap if
// from does not follow the last entry. In an empty stream, from may be any number above
// 0. After a crash, either all of the entries exist or none.
func (s *Stream) Append(from uint64, entries [][]byte, level durable.Level) error {
	first, last := s.Bounds()
	if from == 0 || last != 0 && from != last+1 {
		return fmt.Errorf("%w: %d after %d", ErrGap, from, last)
	}
	if len(entries) == 0 {
		return nil
	}
	var b durable.Batch
	for i, entry := range entries {
		b.Put(s.key(from+uint64(i)), entry, 0)
	}
	if _, err := s.store.Apply(&b, level); err != nil {
		return err
	}
	if first == 0 {
		first = from
	}
	s.setBounds(first, from+uint64(len(entries))-1)
	return nil
}

// TruncateFront removes all entries with a number below to.
func (s *Stream) TruncateFront(to uint64, level durable.Level) error {
	first, last := s.Bounds()
	if first == 0 || to <= first {
		return nil
	}
	to = min(to, last+1)
	if err := s.deleteRange(first, to, level); err != nil {
		return err
	}
	if to > last {
		s.setBounds(0, 0)
	} else {
		s.setBounds(to, last)
	}
	return nil
}

// TruncateBack removes the entry with the number from and all later entries.
func (s *Stream) TruncateBack(from uint64, level durable.Level) error {
	first, last := s.Bounds()
	if first == 0 || from > last {
		return nil
	}
	from = max(from, first)
	if err := s.deleteRange(from, last+1, level); err != nil {
		return err
	}
	if from == first {
		s.setBounds(0, 0)
	} else {
		s.setBounds(first, from-1)
	}
	return nil
}

// deleteRange deletes the entries in [from, to).
func (s *Stream) deleteRange(from, to uint64, level durable.Level) error {
	var b durable.Batch
	b.DeleteRange(s.key(from), s.key(to))
	_, err := s.store.Apply(&b, level)
	return err
}

func (s *Stream) setBounds(first, last uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first, s.last = first, last
}
