package frontend

import "time"

// maxSweepsWithoutProgress is the maximum number of consecutive sweeps in which a caller sends nothing of a request that is
// due, or reads nothing of the responses. At the next such sweep its connection is closed, which is after 2 s with
// the dispatcher's sweepInterval of 200 ms. Sweeps are counted instead of time, so that a pause of the machine does not
// count.
const maxSweepsWithoutProgress = 9

// minReceiveTime is the minimum of maxReceiveTime.
const minReceiveTime = 5 * time.Second

// maxReceiveTime returns the maximum time in which a message or a request may arrive, from its first byte to its last: the
// longest deadline of the classes, after which its caller no longer waits for the response. If all deadlines are
// short, it is minReceiveTime, so that the caller gets the rejection of its own request and no closed connection.
func maxReceiveTime(classes map[string]Class) time.Duration {
	longest := minReceiveTime
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// progress is the state of a caller at a sweep.
type progress uint8

const (
	progressing progress = iota // nothing is due, or it is still arriving
	silent                      // nothing has arrived of a request that is due for more than maxSweepsWithoutProgress
	tooSlow                     // a request has been arriving for longer than maxReceiveTime
	notReading                  // the caller has read no response bytes for more than maxSweepsWithoutProgress
)

// String returns the name of the progress state.
func (p progress) String() string {
	return [...]string{"progressing", "silent", "too slow", "not reading"}[p]
}

// progressTracker holds what a sweep compares with the sweep before.
type progressTracker struct {
	sweepsWithoutProgress int  // consecutive sweeps
	receivedInput         bool // bytes have arrived since the latest sweep
	unsentBytes           int  // unsent bytes at the latest sweep
}

// checkProgress updates the progressTracker at a sweep. A caller makes no progress while it sends nothing of a request that has
// begun, or sends no first request, or if it has read no response bytes since the previous sweep. A request that
// arrives slowly makes progress for as long as its response can still be of use to the caller.
func (c *Conn) checkProgress(now time.Time) progress {
	c.Lock()
	defer c.Unlock()
	tracker := &c.tracker
	receivedInput := tracker.receivedInput
	tracker.receivedInput = false
	unsent := c.PendingBytes()
	unread := unsent > 0 && unsent >= tracker.unsentBytes
	tracker.unsentBytes = unsent
	if c.receivesTooSlowly(now) {
		return tooSlow
	}
	partial := c.hasPartialMessage()
	requestDue := partial && !receivedInput || !partial && !c.receivedRequest && !c.rejectsRequests
	if !requestDue && !unread {
		tracker.sweepsWithoutProgress = 0
		return progressing
	}
	tracker.sweepsWithoutProgress++
	switch {
	case tracker.sweepsWithoutProgress <= maxSweepsWithoutProgress:
		return progressing
	case unread:
		return notReading
	default:
		return silent
	}
}

// receivesTooSlowly reports whether a request or a message began to arrive more than maxReceiveTime ago and is
// still incomplete. The lock must be held.
func (c *Conn) receivesTooSlowly(now time.Time) bool {
	limit := c.server.maxReceiveTime
	startedAt, incomplete := c.codec.IncompleteSince()
	return incomplete && now.Sub(startedAt) > limit || c.partialMessage && now.Sub(c.partialSince) > limit
}
