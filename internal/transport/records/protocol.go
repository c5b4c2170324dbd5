package records

import (
	"fmt"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/lineproto"
)

// The commands to the service, as the protocol names them. These names appear in no other file.
const (
	commandCall   = "OP"   // trace id, timeout in milliseconds, and the body
	commandCancel = "UNOP" // trace id
)

// replyWithBody is the kind of the one reply that has a body.
const replyWithBody = "DONE"

// results are the results of a call, as replies name them.
var results = map[string]exchange.Result{
	replyWithBody: exchange.ResultOK,
	"WAIT":        exchange.ResultNotStarted, // rejected
	"ERROR":       exchange.ResultError,
	"PAST":        exchange.ResultTimedOut,
	"EMPTY":       exchange.ResultNotStarted, // no run waits for the call
}

// reply is the reply to a call.
type reply struct {
	traceID string
	result  exchange.Result
	body    []byte
}

// hasPayload reports whether a body follows a line of the service.
func hasPayload(words []string) bool { return len(words) == 3 && words[1] == replyWithBody }

// parseReply reads a reply: trace id, kind, and for replyWithBody the length of its body.
func parseReply(m lineproto.Message) (reply, error) {
	words := m.Words
	if len(words) < 2 || !exchange.IsTraceID(words[0]) {
		return reply{}, fmt.Errorf("%w: %q", errMalformedReply, words)
	}
	kind := words[1]
	withBody := hasPayload(words)
	result, known := results[kind]
	if !known || withBody != (kind == replyWithBody) || !withBody && len(words) != 2 {
		return reply{}, fmt.Errorf("%w: %q", errMalformedReply, words)
	}
	return reply{traceID: words[0], result: result, body: m.Payload}, nil
}

// timeoutMs is the timeout of a call in commandCall, at least a millisecond.
func timeoutMs(timeout time.Duration) int64 { return max(1, timeout.Milliseconds()) }
