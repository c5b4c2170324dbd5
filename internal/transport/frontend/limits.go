package frontend

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
)

// Limits on one caller, far above what a balancer needs. Beyond the first two the connection is
// drained; beyond the others, for callers that do not read or that flood, it is aborted.
const (
	maxConsecutiveInvalid  = 16        // faulty requests without a good one between them; one more drains
	maxSkippedBytes        = 64 << 10  // input that belongs to no request, between two that do
	maxUnreadResponseBytes = 192 << 10 // answers that wait to be read when more input arrives
	maxBytesAfterMalformed = 1 << 20   // dropped input, while requests before the fault are answered
)

var (
	errTooManyInvalid  = fmt.Errorf("more than %d faulty requests in a row", maxConsecutiveInvalid)
	errTooMuchInput    = fmt.Errorf("more than %d bytes that belong to no request", maxSkippedBytes)
	errResponsesUnread = fmt.Errorf("more than %d bytes of answers not read", maxUnreadResponseBytes)
)

// parse feeds the Codec and applies the limits.
func (c *Conn) parse(received []byte) {
	if c.malformed {
		c.skippedBytes += len(received)
		if c.skippedBytes > maxBytesAfterMalformed {
			c.Abort()
		}
		return
	}
	err := c.codec.Feed(received)
	if err == nil && c.PendingBytes() > maxUnreadResponseBytes {
		err = errResponsesUnread
	}
	if err == nil {
		return
	}
	c.malformed = true
	c.server.Log.Warn("malformed input, connection closed", zap.String("protocol", c.server.Protocol), zap.Error(err))
	if errors.Is(err, errResponsesUnread) {
		c.Abort()
	} else {
		c.Drain()
	}
}

// CountSkippedBytes counts input that belongs to no request, or to one that has failed: to read a body
// without end would cost more than all that is useful. It is called on the event loop's
// goroutine.
func (c *Conn) CountSkippedBytes(bytes int) error {
	c.skippedBytes += bytes
	if c.skippedBytes > maxSkippedBytes {
		return errTooMuchInput
	}
	return nil
}

// CountInvalidRequest counts a faulty request, against callers that send nothing else.
func (c *Conn) CountInvalidRequest() error {
	if c.consecutiveInvalid.Add(1) > maxConsecutiveInvalid {
		return errTooManyInvalid
	}
	return nil
}

// CountResponse counts an answered request: a good one makes up for the faulty ones before it.
func (c *Conn) CountResponse(response exchange.Response) {
	if !response.InvalidRequest {
		c.consecutiveInvalid.Store(0)
		return
	}
	if c.CountInvalidRequest() != nil {
		c.Lock()
		defer c.Unlock()
		c.closeOnceAnswered()
	}
}
