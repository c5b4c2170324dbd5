package exchange

import (
	"sync"
	"sync/atomic"
)

// Exchange is the queue of events for the dispatcher, and what the dispatcher tells the
// frontends for their health checks and responses. The package comment says which goroutine
// may call what.
type Exchange struct {
	mu           sync.Mutex
	queue        []Event
	openRequests int // submitted and not released
	maxRequests  int

	wake            chan struct{}
	healthy         atomic.Bool
	advertisedValue atomic.Pointer[float64]
}

// New returns an Exchange for at most maxRequests open requests.
func New(maxRequests int) *Exchange {
	return &Exchange{maxRequests: maxRequests, wake: make(chan struct{}, 1)}
}

// Submit posts a request. It reports false, and posts nothing, if the maximum of requests
// is open.
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

// ReleaseRequest makes room for another request once one has its response.
func (x *Exchange) ReleaseRequest() {
	x.mu.Lock()
	x.openRequests--
	x.mu.Unlock()
}

// Post adds any other event. There is no bound, as each such event follows from a request,
// a job or a connection, which are bounded.
func (x *Exchange) Post(e Event) {
	x.mu.Lock()
	x.queue = append(x.queue, e)
	x.mu.Unlock()
	x.signal()
}

// Wakeup has the dispatcher take a turn without an event.
func (x *Exchange) Wakeup() { x.signal() }

func (x *Exchange) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// WakeupChan has a value if something was posted, or Wakeup was called, since the last read of it.
func (x *Exchange) WakeupChan() <-chan struct{} { return x.wake }

// Dequeue returns all posted events, in their order, and empties the queue. It reuses buf.
func (x *Exchange) Dequeue(buf []Event) []Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	buf = append(buf[:0], x.queue...)
	clear(x.queue)
	x.queue = x.queue[:0]
	return buf
}

// SetHealthy sets the answer to health checks, which the frontends give without the
// dispatcher.
func (x *Exchange) SetHealthy(healthy bool) { x.healthy.Store(healthy) }

// Healthy is the answer to health checks; false until SetHealthy is called.
func (x *Exchange) Healthy() bool { return x.healthy.Load() }

// SetAdvertisedValue sets the value that responses and health checks carry from now on. The
// settings (family_info.advert) say how callers read it.
func (x *Exchange) SetAdvertisedValue(value float64) { x.advertisedValue.Store(&value) }

// AdvertisedValue returns the value of SetAdvertisedValue, if there is one.
func (x *Exchange) AdvertisedValue() (value float64, ok bool) {
	v := x.advertisedValue.Load()
	if v == nil {
		return 0, false
	}
	return *v, true
}
