package records

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/lineproto"
)

// TestReplyBeforeCall: a service that replies under the right trace id before it was called, on a
// connection that is still opening, neither ends the process nor answers the call.
func TestReplyBeforeCall(t *testing.T) {
	r := newRig(t, 4)
	const early = "0123456789abcdef"
	r.client.Call(exchange.Job{TraceID: early, Timeout: time.Minute, Body: []byte("body")})
	dialing := r.client.calls[early].conn
	require.Equal(t, connDialing, dialing.state)
	dialing.receive(lineproto.Message{Words: []string{early, "DONE", "5"}, Payload: []byte("early")})
	r.arrived().reply(t)
	r.await("the outcome", func() bool { return len(r.outcomes) > 0 })
	require.Equal(t, []exchange.Outcome{{TraceID: early, Stage: exchange.CallEnded, Body: []byte("ok")}}, r.outcomes)
}
