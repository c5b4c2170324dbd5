package tests

import (
	"sync"
	"time"
)

// stallMonitor records the times in which this test process was not scheduled or had paused the program. They
// are not counted against response times.
type stallMonitor struct {
	done   chan struct{}
	mu     sync.Mutex
	stalls []stall
}

type stall struct {
	end      time.Time
	duration time.Duration
}

const (
	stallPoll = 5 * time.Millisecond
	minStall  = 15 * time.Millisecond
)

func newStallMonitor() *stallMonitor {
	m := &stallMonitor{done: make(chan struct{})}
	go m.run()
	return m
}

func (m *stallMonitor) run() {
	for {
		before := time.Now()
		select {
		case <-m.done:
			return
		case <-time.After(stallPoll):
		}
		if late := time.Since(before) - stallPoll; late > minStall {
			m.recordStall(late)
		}
	}
}

// recordStall records a stall that ends now.
func (m *stallMonitor) recordStall(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalls = append(m.stalls, stall{time.Now(), took})
}

func (m *stallMonitor) stop() { close(m.done) }

// totalBetween returns the total duration of the stalls that overlap a time span.
func (m *stallMonitor) totalBetween(begin, end time.Time) (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, st := range m.stalls {
		if st.end.After(begin) && st.end.Add(-st.duration).Before(end) {
			sum += st.duration
		}
	}
	return sum
}
