// Package logsink writes log lines to a file or pipe without ever blocking the goroutine
// that logs. If the reader of a pipe stops reading, write(2) blocks; the service must still
// respond to requests.
//
// Only the goroutine of a [Sink] writes to the output; Sink.mu guards the buffer between that
// goroutine and the loggers. Lines are written complete and in order. If the buffer is full,
// complete lines are dropped, and a log line with their number follows. Write errors of the
// output are ignored.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the size of the buffer; lines that do not fit are dropped.
	maxBufferBytes = 256 << 10
	// syncTimeout bounds the wait of Sync for an empty buffer.
	syncTimeout = 50 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer that buffers lines and writes them in a separate goroutine.
// Its methods may be called from any goroutine.
type Sink struct {
	out  io.Writer
	wake chan struct{}

	mu          sync.Mutex
	buffer      []byte          // complete lines that are not written yet
	dropped     int             // lines dropped since the last log line about drops
	syncWaiters []chan struct{} // of Sync, closed when the buffer has been written
}

// New returns a Sink that writes to out until the process exits.
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

// Sync waits until all queued lines are written, for at most syncTimeout. It never fails.
func (s *Sink) Sync() error {
	written := make(chan struct{})
	s.mu.Lock()
	s.syncWaiters = append(s.syncWaiters, written)
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

// wakeWriter wakes the writing goroutine.
func (s *Sink) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the writing goroutine. It writes the buffer whenever wakeWriter wakes it.
func (s *Sink) run() {
	var batch []byte
	for range s.wake {
		var waiters []chan struct{}
		for {
			batch, waiters = s.dequeue(batch)
			if len(batch) == 0 {
				break
			}
			s.out.Write(batch) // ignored: an error means that the output has no reader
			closeAll(waiters)
		}
		closeAll(waiters)
	}
}

// dequeue returns the queued lines and the waiters of Sync. It reuses the memory of reuse for
// the new, empty buffer.
func (s *Sink) dequeue(reuse []byte) ([]byte, []chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.buffer
	waiters := s.syncWaiters
	s.buffer = reuse[:0]
	s.syncWaiters = nil
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
