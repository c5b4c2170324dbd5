package records

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/lineproto"
)

// TestReplyBeforeCall checks that a reply with the right trace id that arrives while the connection is
// still being dialed, before the call is sent, does not crash the process or complete the call.
func TestReplyBeforeCall(t *testing.T) {
	r := newClientFixture(t, 4)
	const traceID = "0123456789abcdef"
	r.client.Call(exchange.Job{TraceID: traceID, Timeout: time.Minute, Body: []byte("body")})
	dialing := r.client.calls[traceID].conn
	require.Equal(t, connDialing, dialing.state)
	dialing.receive(lineproto.Message{Words: []string{traceID, "DONE", "5"}, Payload: []byte("early")})
	r.nextCall().sendReply(t)
	r.waitFor("the outcome", func() bool { return len(r.outcomes) > 0 })
	require.Equal(t, []exchange.Outcome{{TraceID: traceID, Stage: exchange.CallEnded, Body: []byte("ok")}}, r.outcomes)
}
