package frontend

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
)

// Limits on one connection, far above what a balancer needs. If one of the first two is exceeded, the
// connection is drained. If one of the others is exceeded, because the caller does not read responses or
// floods the connection, it is aborted.
const (
	maxConsecutiveInvalid  = 16        // invalid requests without a valid one between them
	maxSkippedBytes        = 64 << 10  // input between two requests that belongs to neither
	maxUnreadResponseBytes = 192 << 10 // unsent responses when more input arrives
	maxBytesAfterMalformed = 1 << 20   // dropped input after a malformed message, while earlier requests are answered
)

var (
	errTooManyInvalid  = fmt.Errorf("more than %d consecutive invalid requests", maxConsecutiveInvalid)
	errTooMuchInput    = fmt.Errorf("more than %d bytes that belong to no request", maxSkippedBytes)
	errResponsesUnread = fmt.Errorf("more than %d bytes of responses not read by the caller", maxUnreadResponseBytes)
)

// parse passes received bytes to the Codec and enforces the limits.
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

// CountSkippedBytes counts input that belongs to no request, or to one that has failed. It returns an
// error beyond maxSkippedBytes, since reading an endless body would cost more than the valid requests.
// It is called on the event loop's goroutine.
func (c *Conn) CountSkippedBytes(bytes int) error {
	c.skippedBytes += bytes
	if c.skippedBytes > maxSkippedBytes {
		return errTooMuchInput
	}
	return nil
}

// RequestRejected records that a valid request was rejected because the connection is being closed. Its bytes are
// not counted together with those of earlier ones. It is called on the event loop's goroutine.
func (c *Conn) RequestRejected() { c.skippedBytes = 0 }

// CountInvalidRequest counts an invalid request. It returns an error beyond maxConsecutiveInvalid, for
// callers that send only invalid requests.
func (c *Conn) CountInvalidRequest() error {
	if c.consecutiveInvalid.Add(1) > maxConsecutiveInvalid {
		return errTooManyInvalid
	}
	return nil
}

// CountResponse updates the count of consecutive invalid requests after a response. A valid request
// resets the count.
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
