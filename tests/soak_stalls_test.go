package tests

import (
	"sync"
	"time"
)

// stallMonitor notes when this process itself stood still, or had stopped the program: such time
// does not count against an answer.
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

// recordStall adds a standstill that ends now.
func (m *stallMonitor) recordStall(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalls = append(m.stalls, stall{time.Now(), took})
}

func (m *stallMonitor) stop() { close(m.done) }

// totalBetween is how long the machine stood still in a span of time.
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
