package ajp

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/testrig/looptest"
	"oxbowbridge/internal/transport/frontend"
)

// testFrontend is a frontend that makes its accepted connections available to the test.
type testFrontend struct {
	*Frontend
	*looptest.Server[*conn]
}

func newTestFrontend(t *testing.T) *testFrontend {
	return newConfiguredFrontend(t, func(*Frontend) {})
}

// newConfiguredFrontend is newTestFrontend with a change to the frontend before connections are accepted.
func newConfiguredFrontend(t *testing.T, configure func(*Frontend)) *testFrontend {
	f := NewFrontend(exchange.New(10), map[string]frontend.Class{"nom-submit": {}}, "", zap.NewNop())
	configure(f)
	return &testFrontend{f, looptest.NewServer(t, f.newConn)}
}

// testForwardRequest returns the FORWARD_REQUEST packet of a request whose body has two bytes.
func testForwardRequest() []byte {
	return encodeForwardRequest("/call/nom-submit", "", newHeaders("trace-id", "0123456789abcdef", "content-length", "2",
		"reserve-kb", "1", "accepted-at-ms", strconv.FormatInt(time.Now().UnixMilli(), 10)))
}

// TestNoRequestBeginsAfterDrain checks that a request is never submitted if the dispatcher closes or drains its
// connection before the request has arrived completely. Otherwise the request would run although its response
// cannot be sent.
func TestNoRequestBeginsAfterDrain(t *testing.T) {
	f := newTestFrontend(t)
	x := f.Exchange
	forward := testForwardRequest()[packetHeaderBytes+1:]
	chunk := encodeRequestBodyChunk([]byte("ok"))[packetHeaderBytes:]
	connect := func() *conn { c, _ := f.Connect(); return c }

	c := connect()
	require.True(t, c.CloseIfIdle(time.Now().Add(time.Hour), 0))
	require.NoError(t, c.handleForwardRequest(forward), "a packet that was read before the close")
	require.Nil(t, c.openReq)

	c = connect()
	require.NoError(t, c.handleForwardRequest(forward))
	incomplete := c.openReq
	require.NotNil(t, incomplete)
	c.Drain()
	require.NoError(t, c.handleBodyChunk(incomplete, chunk), "a packet that was read before the drain")
	require.Empty(t, x.Dequeue(nil))
	require.Zero(t, c.OpenRequests())

	c = connect() // the connection is lost between the last chunk and the submission
	require.NoError(t, c.handleForwardRequest(forward))
	incomplete = c.openReq
	c.OnClose(nil)
	c.submitOrReject(incomplete, &exchange.Request{Responder: incomplete})
	require.Empty(t, x.Dequeue(nil))

	c = connect() // without a close or drain the request is submitted
	require.NoError(t, c.handleForwardRequest(forward))
	require.NoError(t, c.handleBodyChunk(c.openReq, chunk))
	require.Len(t, x.Dequeue(nil), 1)
}
