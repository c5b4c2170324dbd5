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

// progressTracker holds what a sweep compares with the sweep before. Sending and reading are counted apart: a caller that
// sends nothing may still read.
type progressTracker struct {
	silentSweeps   int   // consecutive sweeps in which a request was due and nothing of it arrived
	unreadSweeps   int   // consecutive sweeps in which the caller read none of the unsent responses
	receivedInput  bool  // bytes have arrived since the latest sweep
	deliveredBytes int64 // response bytes that had been delivered at the latest sweep
}

// checkProgress updates the progressTracker at a sweep, and returns the state of the caller. A request that arrives slowly
// makes progress for as long as its response can still be of use to the caller.
func (c *Conn) checkProgress(now time.Time) progress {
	c.Lock()
	defer c.Unlock()
	c.countUnreadSweep()
	c.countSilentSweep()
	switch {
	case c.tracker.unreadSweeps > maxSweepsWithoutProgress:
		return notReading
	case c.receivesTooSlowly(now):
		return tooSlow
	case c.tracker.silentSweeps > maxSweepsWithoutProgress:
		return silent
	}
	return progressing
}

// countUnreadSweep counts a sweep in which the caller has read none of the unsent responses. The lock must be held.
func (c *Conn) countUnreadSweep() {
	if c.PendingBytes() == 0 {
		c.tracker.unreadSweeps = 0
		return
	}
	delivered := c.DeliveredBytes()
	if delivered > c.tracker.deliveredBytes {
		c.tracker.unreadSweeps = 0
	} else {
		c.tracker.unreadSweeps++
	}
	c.tracker.deliveredBytes = delivered
}

// countSilentSweep counts a sweep in which nothing has arrived of a request that has begun, or in which no request has
// arrived on the connection yet. The lock must be held.
func (c *Conn) countSilentSweep() {
	receivedInput := c.tracker.receivedInput
	c.tracker.receivedInput = false
	partial := c.hasPartialMessage()
	firstRequestDue := !partial && !c.receivedRequest && !c.rejectsRequests
	if firstRequestDue || partial && !receivedInput {
		c.tracker.silentSweeps++
		return
	}
	c.tracker.silentSweeps = 0
}

// onlyReceivesSince reports whether no complete request is open, and the oldest incomplete request or message, if any, began to
// arrive at the given time or before.
func (c *Conn) onlyReceivesSince(latestStart time.Time) bool {
	c.Lock()
	defer c.Unlock()
	startedAt, incomplete := c.codec.IncompleteSince()
	slow := incomplete && !startedAt.After(latestStart) || c.partialMessage && !c.partialSince.After(latestStart)
	return slow && !c.codec.HasCompleteRequest()
}

// receivesTooSlowly reports whether a request or a message began to arrive more than maxReceiveTime ago and is
// still incomplete. The lock must be held.
func (c *Conn) receivesTooSlowly(now time.Time) bool {
	limit := c.server.maxReceiveTime
	startedAt, incomplete := c.codec.IncompleteSince()
	return incomplete && now.Sub(startedAt) > limit || c.partialMessage && now.Sub(c.partialSince) > limit
}
