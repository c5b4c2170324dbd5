// Package logsink writes log lines to a file or pipe without ever blocking the goroutine
// that logs. A pipe whose reader has stopped reading blocks write(2); the service must
// keep on responding meanwhile.
//
// A [Sink] has one goroutine, which alone writes to the output; Sink.mu guards the
// buffer between it and the loggers. Lines are written completely and in order, or
// dropped completely when the buffer is full; a notice with their number follows.
// Errors of the output are ignored.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the bytes that wait to be written; further lines are dropped.
	maxBufferBytes = 256 << 10
	// syncTimeout is how long Sync waits for the buffer to empty.
	syncTimeout = 50 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer that buffers lines and writes them from a goroutine of
// its own. Its methods may be called from any goroutine.
type Sink struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  []byte          // complete lines that are not written yet
	dropped int             // lines dropped since the last notice
	waiters []chan struct{} // closed when the buffer has been written
}

// New returns a Sink that writes to out for as long as the process lives.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write queues one line, or drops and counts it if the buffer is full. It never blocks
// on the output and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.buffer)+len(line) > maxBufferBytes {
		s.dropped++
	} else {
		s.buffer = append(s.buffer, line...)
	}
	s.mu.Unlock()
	s.wakeWriter()
	return len(line), nil
}

// Sync waits until all queued lines are written, but not longer than syncTimeout.
func (s *Sink) Sync() error {
	written := make(chan struct{})
	s.mu.Lock()
	s.waiters = append(s.waiters, written)
	s.mu.Unlock()
	s.wakeWriter()
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	select {
	case <-written:
	case <-timeout.C:
	}
	return nil
}

// wakeWriter has the goroutine look at the buffer.
func (s *Sink) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the buffer whenever it is woken.
func (s *Sink) run() {
	var writing []byte
	for range s.wake {
		var waiters []chan struct{}
		for {
			writing, waiters = s.dequeue(writing)
			if len(writing) == 0 {
				break
			}
			s.out.Write(writing) // an error means that nobody reads any more
			closeAll(waiters)
		}
		closeAll(waiters)
	}
}

// dequeue exchanges the queued lines for an empty buffer, which reuses the given one.
func (s *Sink) dequeue(reuse []byte) ([]byte, []chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.buffer
	waiters := s.waiters
	s.buffer = reuse[:0]
	s.waiters = nil
	if s.dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", s.dropped)
		s.dropped = 0
	}
	return lines, waiters
}

func closeAll(waiters []chan struct{}) {
	for _, written := range waiters {
		close(written)
	}
}
