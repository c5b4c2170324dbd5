// Package stream keeps numbered entries without gaps in a durable store: they are
// appended at the end, read by number, and cut off at either end, as the log of a
// replicated state machine is. Its keys lie under a prefix of their own, so one
// store can hold several streams beside other keys, and a batch may touch both.
package stream

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"oxbowbridge/internal/storage/durable"
)

var (
	// ErrGap means that an entry would not follow the last one.
	ErrGap = errors.New("entry does not follow the last")
	// ErrNotThere means that a number lies outside of the stream.
	ErrEntryNotFound = errors.New("no such entry")
)

// Stream is one stream. One caller at a time may change it; any may read.
type Stream struct {
	store       *durable.Store
	prefix      []byte
	mu          sync.RWMutex
	first, last uint64 // 0 if it is empty
}

// Open finds what the store has under a prefix.
func Open(store *durable.Store, prefix string) (*Stream, error) {
	s := &Stream{store: store, prefix: []byte(prefix)}
	snap, err := store.Snapshot()
	if err != nil {
		return nil, err
	}
	defer snap.Close()
	var bad error
	err = snap.Scan(s.key(0), s.end(), 0, func(i durable.Item) bool {
		if len(i.Key) != len(prefix)+8 {
			bad = fmt.Errorf("stream %q: key %q is not of a stream", prefix, i.Key)
			return false
		}
		n := binary.BigEndian.Uint64([]byte(i.Key[len(prefix):]))
		if s.last != 0 && n != s.last+1 {
			bad = fmt.Errorf("stream %q: %w: %d after %d", prefix, ErrGap, n, s.last)
			return false
		}
		if s.first == 0 {
			s.first = n
		}
		s.last = n
		return true
	})
	return s, errors.Join(err, bad)
}

func (s *Stream) key(n uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(nil), s.prefix...), n)
}

// end is the first key behind the prefix; nil if there is none.
func (s *Stream) end() []byte {
	e := append([]byte(nil), s.prefix...)
	for i := len(e) - 1; i >= 0; i-- {
		if e[i]++; e[i] != 0 {
			return e[:i+1]
		}
	}
	return nil
}

// Bounds are the first and the last number; 0 if the stream is empty.
func (s *Stream) Bounds() (first, last uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.first, s.last
}

// Get reads one entry.
func (s *Stream) Get(n uint64) ([]byte, error) {
	if first, last := s.Bounds(); n < first || n > last || n == 0 {
		return nil, fmt.Errorf("%w: %d, there are %d to %d", ErrEntryNotFound, n, first, last)
	}
	v, err := s.store.Get(s.key(n), 0)
	if errors.Is(err, durable.ErrNotFound) { // cut off meanwhile
		err = fmt.Errorf("%w: %d", ErrEntryNotFound, n)
	}
	return v, err
}

// Append adds entries from a number on, which must follow the last; an empty stream
// begins anywhere above 0. All of them are there after a crash, or none.
func (s *Stream) Append(from uint64, entries [][]byte, level durable.Level) error {
	first, last := s.Bounds()
	if from == 0 || last != 0 && from != last+1 {
		return fmt.Errorf("%w: %d after %d", ErrGap, from, last)
	}
	if len(entries) == 0 {
		return nil
	}
	var b durable.Batch
	for i, e := range entries {
		b.Put(s.key(from+uint64(i)), e, 0)
	}
	if _, err := s.store.Apply(&b, level); err != nil {
		return err
	}
	if first == 0 {
		first = from
	}
	s.set(first, from+uint64(len(entries))-1)
	return nil
}

// CutFront removes all entries before a number.
func (s *Stream) TruncateFront(to uint64, level durable.Level) error {
	first, last := s.Bounds()
	if first == 0 || to <= first {
		return nil
	}
	to = min(to, last+1)
	if err := s.cut(first, to, level); err != nil {
		return err
	}
	if to > last {
		s.set(0, 0)
	} else {
		s.set(to, last)
	}
	return nil
}

// CutBack removes a number and all entries after it.
func (s *Stream) TruncateBack(from uint64, level durable.Level) error {
	first, last := s.Bounds()
	if first == 0 || from > last {
		return nil
	}
	from = max(from, first)
	if err := s.cut(from, last+1, level); err != nil {
		return err
	}
	if from == first {
		s.set(0, 0)
	} else {
		s.set(first, from-1)
	}
	return nil
}

func (s *Stream) cut(from, to uint64, level durable.Level) error {
	var b durable.Batch
	b.DeleteRange(s.key(from), s.key(to))
	_, err := s.store.Apply(&b, level)
	return err
}

func (s *Stream) set(first, last uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first, s.last = first, last
}
