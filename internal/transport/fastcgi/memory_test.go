package fastcgi

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/memquota"
	"oxbowbridge/internal/transport/frontend"
)

// limitedFrontend is a frontend whose connections may hold a number of bytes of incomplete requests.
type limitedFrontend struct {
	*testFrontend
	input *memquota.Quota
}

func newLimitedFrontend(t *testing.T, maxInputBytes int) *limitedFrontend {
	quotas := frontend.MemoryQuotas{Input: memquota.Fixed(maxInputBytes), Output: memquota.Fixed(1 << 30)}
	return &limitedFrontend{newConfiguredFrontend(t, func(f *Frontend) { f.LimitMemory(quotas) }), quotas.Input}
}

// connect returns both ends of a connection.
func (f *limitedFrontend) connect() (*conn, net.Conn) {
	c, peer := f.Connect()
	require.NoError(f, peer.SetDeadline(time.Now().Add(10*time.Second)))
	return c, peer
}

// awaitOpen waits until a connection has the given number of open requests.
func (f *limitedFrontend) awaitOpen(c *conn, requests int) {
	f.Helper()
	open := func() int { c.Lock(); defer c.Unlock(); return c.OpenRequests() }
	require.Eventually(f, func() bool { return open() == requests }, 10*time.Second, time.Millisecond)
}

// awaitSubmitted waits for complete requests.
func (f *limitedFrontend) awaitSubmitted(requests int) {
	f.Helper()
	var submitted []exchange.Event
	require.Eventually(f, func() bool {
		submitted = append(submitted, f.Exchange.Dequeue(nil)...)
		return len(submitted) == requests
	}, 10*time.Second, time.Millisecond)
}

// begin writes the first part of a request with a parameter of the given size.
func (f *limitedFrontend) begin(peer net.Conn, id uint16, size int) {
	f.Helper()
	params := appendPair(nil, "HTTP_COOKIE", string(make([]byte, size)))
	f.write(peer, encodeRecords(id, []record{{typeBeginRequest, id, []byte{0, 1, 1, 0, 0, 0, 0, 0}}, {typeParams, id, params}}))
}

func (f *limitedFrontend) write(peer net.Conn, b []byte) {
	f.Helper()
	_, err := peer.Write(b)
	require.NoError(f, err)
}

// TestLargestHolderIsRejected guards against exceeding the memory: if all connections together hold too much of
// incomplete requests, those of the largest holder are rejected, while its complete requests and smaller holders are
// served, and both connections stay usable.
func TestLargestHolderIsRejected(t *testing.T) {
	const maxInputBytes = 16 << 10
	f := newLimitedFrontend(t, maxInputBytes)
	small, smallPeer := f.connect()
	large, largePeer := f.connect()
	request := completeRequestRecords()
	f.write(largePeer, encodeRecords(1, request))
	f.awaitSubmitted(1)
	f.begin(largePeer, 2, 8000)
	f.awaitOpen(large, 2)
	f.begin(smallPeer, 1, 6000)
	f.awaitOpen(small, 1)
	require.Eventually(t, func() bool { return f.input.Used() > 14000 }, 10*time.Second, time.Millisecond)

	f.begin(smallPeer, 2, 1500)
	requireEndRequest(t, largePeer, 2, statusOverloaded)
	f.awaitOpen(large, 1)
	f.awaitOpen(small, 2)
	require.LessOrEqual(t, f.input.Used(), maxInputBytes)

	f.write(largePeer, encodeRecords(2, request[2:])) // the rest of a rejected request is skipped
	f.write(largePeer, encodeRecords(3, request))
	f.write(smallPeer, encodeRecords(3, request))
	f.awaitSubmitted(2)
	f.awaitOpen(large, 2)
	f.awaitOpen(small, 3)
}

// TestPartialRecordIsReleased guards against exceeding the memory by records that stop half way: the memory of the
// record is freed, its request is rejected, and the rest of the record is skipped.
func TestPartialRecordIsReleased(t *testing.T) {
	f := newLimitedFrontend(t, 4<<10)
	c, peer := f.connect()
	record := encodeRecords(1, []record{{typeParams, 1, bytes.Repeat([]byte("x"), 8<<10)}})
	f.write(peer, encodeRecords(1, completeRequestRecords()[:1]))
	f.awaitOpen(c, 1)
	f.write(peer, record[:5<<10])
	requireEndRequest(t, peer, 1, statusOverloaded)
	require.Eventually(t, func() bool { return f.input.Used() == 0 }, 10*time.Second, time.Millisecond)
	f.write(peer, record[5<<10:])
	f.write(peer, encodeRecords(1, completeRequestRecords()))
	f.awaitSubmitted(1)
}

// TestCallerOfManyRejectedRequestsIsClosed guards against callers that begin ever new requests after the earlier ones
// were rejected for their memory.
func TestCallerOfManyRejectedRequestsIsClosed(t *testing.T) {
	f := newLimitedFrontend(t, 1<<10)
	c, peer := f.connect()
	for id := uint16(1); id <= 17; id++ {
		f.begin(peer, id, 2<<10)
		requireEndRequest(t, peer, id, statusOverloaded)
	}
	rejects := func() bool { c.Lock(); defer c.Unlock(); return c.RejectsRequests() }
	require.Eventually(t, rejects, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return c.CloseIfIdle(time.Now(), 0) }, 10*time.Second, time.Millisecond)
	_, err := peer.Read(make([]byte, 1))
	require.Error(t, err)
}

// TestAnsweredRequestsWithoutEndAreLimited guards against a caller that never ends its requests after they were
// answered as invalid: what is known of them must not grow with each one.
func TestAnsweredRequestsWithoutEndAreLimited(t *testing.T) {
	f := newTestFrontend(t)
	c, _ := f.Connect()
	begin := record{recordType: typeBeginRequest, content: []byte{0, 1, 1, 0, 0, 0, 0, 0}}
	tooLarge := record{recordType: typeParams, content: make([]byte, maxParamsBytes+1)}
	for id := uint16(1); id <= 1000; id++ {
		begin.id, tooLarge.id = id, id
		c.CountResponse(exchange.Response{}) // a valid request between two invalid ones
		require.NoError(t, c.handleRecord(begin))
		if err := c.handleRecord(tooLarge); err != nil {
			require.ErrorContains(t, err, "belong to no request")
			break
		}
	}
	c.Lock()
	defer c.Unlock()
	require.LessOrEqual(t, len(c.openRequests), maxTrackedRequests)
}

// TestMostUnreadIsAborted guards against exceeding the memory by responses that callers do not read: beyond the quota
// of all connections the one with the most unread bytes is aborted, and the others get their responses.
func TestMostUnreadIsAborted(t *testing.T) {
	const maxOutputBytes = 1 << 20
	output := memquota.Fixed(maxOutputBytes)
	conns := newSweptConns(t, 3, func(f *Frontend) {
		f.LimitMemory(frontend.MemoryQuotas{Input: memquota.Fixed(1 << 30), Output: output})
	})
	reading, most, little := conns[0], conns[1], conns[2]
	unread := little.fillBuffers()
	written := most.fillBuffers()
	for i := 0; output.Used() < maxOutputBytes-chunkBytes; i++ {
		require.Less(t, i, maxOutputBytes/chunkBytes, "unread bytes don't count")
		most.Write(make([]byte, chunkBytes))
		written += chunkBytes
	}
	require.Greater(t, most.PendingBytes(), 2*little.PendingBytes(), "the test must make a difference between the two")
	little.Write(make([]byte, chunkBytes))
	require.LessOrEqual(t, output.Used(), maxOutputBytes)
	received, _ := io.Copy(io.Discard, most.peer)
	require.Less(t, int(received), written, "not aborted")
	_, err := io.CopyN(io.Discard, little.peer, int64(unread+chunkBytes))
	require.NoError(t, err, "aborted instead of the connection with the most unread bytes")
	reading.Write(make([]byte, chunkBytes))
	_, err = io.CopyN(io.Discard, reading.peer, chunkBytes)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return output.Used() == 0 }, 10*time.Second, time.Millisecond, "sent bytes still count")
}
