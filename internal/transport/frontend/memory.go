package frontend

import (
	"math"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/memquota"
)

// OpenRequestOverheadBytes is the memory of an incomplete request in addition to what was received of it.
const OpenRequestOverheadBytes = 256

// unlimited returns the quotas of a Server without LimitMemory. Their maximum is never reached.
func unlimited() MemoryQuotas {
	return MemoryQuotas{Input: memquota.Fixed(math.MaxInt), Output: memquota.Fixed(math.MaxInt)}
}

// MemoryQuotas limit what all connections hold together. Several Servers may share them if their connections belong to
// the same event loop.
type MemoryQuotas struct {
	// Input is the quota for incomplete messages and requests.
	Input *memquota.Quota
	// Output is the quota for responses that callers don't read.
	Output *memquota.Quota
}

// LimitMemory sets the quotas. It must be called before Listen.
func (s *Server) LimitMemory(quotas MemoryQuotas) { s.quotas = quotas }

// logUnread logs that a connection is aborted because its caller does not read.
func (s *Server) logUnread() {
	s.Log.Warn("memory limit of unread responses reached, connection aborted", zap.String("protocol", s.Protocol))
}

// updateHeldInput reports to the quota how much the connection holds of incomplete messages and requests. If the quota is
// exceeded, the connections that hold most of it release it, possibly this one. It is called on the event loop's goroutine.
func (c *Conn) updateHeldInput(bytes int) {
	c.input.Set(bytes)
	c.server.quotas.Input.Reclaim()
}

// releaseInput rejects the requests of the connection that are incomplete, and frees what was received of them. Complete
// requests are still answered, and the connection stays open if its protocol allows that. The rejected requests count as
// invalid ones, for callers that begin ever new requests. It is called on the event loop's goroutine.
func (c *Conn) releaseInput() {
	c.Lock()
	before := c.codec.HeldBytes()
	rejected, synchronized := c.codec.ReleaseInput()
	held := c.codec.HeldBytes()
	c.openRequests -= rejected
	tooManyInvalid := c.consecutiveInvalid.Add(int32(rejected)) > maxConsecutiveInvalid
	if !synchronized || tooManyInvalid {
		c.rejectFurtherRequests()
	}
	c.partialMessage = c.codec.HoldsPartialMessage() && !c.rejectsRequests
	c.Unlock()
	c.input.Set(held)
	c.server.Log.Warn("memory limit of incomplete requests reached, requests rejected",
		zap.Int("requests", rejected), zap.Int("freed_bytes", before-held))
}

// rejectFurtherRequests rejects further requests, and closes the connection once the open ones are answered. Complete
// requests may be among bytes that are not handled yet. They are rejected too: the next sweep closes the
// connection. The lock must be held.
func (c *Conn) rejectFurtherRequests() {
	c.rejectsRequests = true
	if !c.HasUnhandledInput() {
		c.closeOnceAnswered()
	}
}
