// Package logsink writes log lines to a file or pipe without ever blocking the goroutine
// that logs. A pipe whose reader has stopped reading blocks write(2); the service must go
// on answering meanwhile.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferMost is how many bytes may wait to be written; further lines are dropped.
	bufferMost = 256 << 10
	// syncMost is how long Sync waits for the buffer to empty.
	syncMost = 50 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer that buffers lines and writes them from a goroutine of
// its own. Its methods may be called from any goroutine.
type Sink struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  []byte          // whole lines that are not written yet
	dropped int             // lines dropped since the last notice of that
	waiters []chan struct{} // closed when the buffer has been written
}

// New returns a Sink that writes to out for as long as the process lives.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write queues one line. It never blocks and never fails: a line that finds the buffer
// full is dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.buffer)+len(line) > bufferMost {
		s.dropped++
	} else {
		s.buffer = append(s.buffer, line...)
	}
	s.mu.Unlock()
	s.signal()
	return len(line), nil
}

// Sync waits until all that was queued is written, but not longer than syncMost.
func (s *Sink) Sync() error {
	written := make(chan struct{})
	s.mu.Lock()
	s.waiters = append(s.waiters, written)
	s.mu.Unlock()
	s.signal()
	timeout := time.NewTimer(syncMost)
	defer timeout.Stop()
	select {
	case <-written:
	case <-timeout.C:
	}
	return nil
}

func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sink) run() {
	var writing []byte
	for range s.wake {
		var waiters []chan struct{}
		for {
			writing, waiters = s.take(writing)
			if len(writing) == 0 {
				break
			}
			s.out.Write(writing) // a reader that has gone away gets nothing more
			finish(waiters)
		}
		finish(waiters)
	}
}

// take exchanges the queued lines for an empty buffer, which reuses the given one.
func (s *Sink) take(reuse []byte) ([]byte, []chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, waiters := s.buffer, s.waiters
	s.buffer, s.waiters = reuse[:0], nil
	if s.dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", s.dropped)
		s.dropped = 0
	}
	return lines, waiters
}

func finish(waiters []chan struct{}) {
	for _, written := range waiters {
		close(written)
	}
}
