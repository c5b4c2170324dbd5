package tests

import (
	"sync"
	"time"
)

// stallMonitor notes when this process itself stood still, or had stopped the program: such time
// does not count against an answer.
type stallMonitor struct {
	done chan struct{}
	mu   sync.Mutex
	at   []stall
}

type stall struct {
	end  time.Time
	took time.Duration
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
			m.note(late)
		}
	}
}

// note adds a standstill that ends now.
func (m *stallMonitor) note(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = append(m.at, stall{time.Now(), took})
}

func (m *stallMonitor) stop() { close(m.done) }

// between is how long the machine stood still in a span of time.
func (m *stallMonitor) between(begin, end time.Time) (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, st := range m.at {
		if st.end.After(begin) && st.end.Add(-st.took).Before(end) {
			sum += st.took
		}
	}
	return sum
}
