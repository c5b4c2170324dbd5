package exchange

import (
	"sync"
	"sync/atomic"
)

// Exchange is the queue of events for the dispatcher. It also holds the health status and the
// advertised value, which the dispatcher sets and the frontends read. The package comment says which
// goroutines may call which methods.
type Exchange struct {
	mu           sync.Mutex
	queue        []Event
	openRequests int // requests that are submitted and not yet released
	maxRequests  int

	wake            chan struct{}
	healthy         atomic.Bool
	advertisedValue atomic.Pointer[float64]
}

// New returns an Exchange that accepts at most maxRequests open requests.
func New(maxRequests int) *Exchange {
	return &Exchange{maxRequests: maxRequests, wake: make(chan struct{}, 1)}
}

// Submit adds a request to the queue. It returns false without adding it if the maximum number of
// open requests is reached.
func (x *Exchange) Submit(r *Request) bool {
	accepted := x.enqueueRequest(r)
	x.signal()
	return accepted
}

func (x *Exchange) enqueueRequest(r *Request) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.openRequests >= x.maxRequests {
		return false
	}
	x.openRequests++
	x.queue = append(x.queue, r)
	return true
}

// ReleaseRequest frees the slot of an open request. It is called when the request gets its response.
func (x *Exchange) ReleaseRequest() {
	x.mu.Lock()
	x.openRequests--
	x.mu.Unlock()
}

// OpenRequests returns the number of open requests.
func (x *Exchange) OpenRequests() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.openRequests
}

// Post adds an event other than a request to the queue. The queue needs no limit for these events,
// because each is caused by a request, job or connection, and their numbers are limited.
func (x *Exchange) Post(e Event) {
	x.mu.Lock()
	x.queue = append(x.queue, e)
	x.mu.Unlock()
	x.signal()
}

// Wakeup wakes the dispatcher without adding an event.
func (x *Exchange) Wakeup() { x.signal() }

func (x *Exchange) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// WakeupChan returns a channel that has a value if an event was added or Wakeup was called since the
// last receive.
func (x *Exchange) WakeupChan() <-chan struct{} { return x.wake }

// Dequeue removes all events from the queue and returns them in the order in which they were added.
// It reuses buf.
func (x *Exchange) Dequeue(buf []Event) []Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	buf = append(buf[:0], x.queue...)
	clear(x.queue)
	x.queue = x.queue[:0]
	return buf
}

// SetHealthy sets the health check status. Frontends respond to health checks without involving the
// dispatcher.
func (x *Exchange) SetHealthy(healthy bool) { x.healthy.Store(healthy) }

// Healthy returns the health check status; false until SetHealthy is called.
func (x *Exchange) Healthy() bool { return x.healthy.Load() }

// SetAdvertisedValue sets the value that later responses and health check responses carry. The
// setting family_info.advert defines its meaning for callers.
func (x *Exchange) SetAdvertisedValue(value float64) { x.advertisedValue.Store(&value) }

// AdvertisedValue returns the value set by SetAdvertisedValue, or false if none was set.
func (x *Exchange) AdvertisedValue() (value float64, ok bool) {
	v := x.advertisedValue.Load()
	if v == nil {
		return 0, false
	}
	return *v, true
}
