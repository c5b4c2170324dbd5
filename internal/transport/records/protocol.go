package records

import (
	"fmt"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/lineproto"
)

// Commands to the service, with their arguments. Only this file contains the protocol's names.
const (
	commandCall   = "OP"   // trace id, timeout in milliseconds, and the body
	commandCancel = "UNOP" // trace id
)

// replyWithBody is the only kind of reply that has a body.
const replyWithBody = "DONE"

// results maps the kind of a reply to the result of the call.
var results = map[string]exchange.Result{
	replyWithBody: exchange.ResultOK,
	"WAIT":        exchange.ResultNotStarted, // the service rejected the call
	"ERROR":       exchange.ResultError,
	"PAST":        exchange.ResultTimedOut,
	"EMPTY":       exchange.ResultNotStarted, // the service found no run that waits for the call
}

// reply is the reply to a call.
type reply struct {
	traceID string
	result  exchange.Result
	body    []byte
}

// hasPayload reports whether a body follows a line from the service.
func hasPayload(words []string) bool { return len(words) == 3 && words[1] == replyWithBody }

// parseReply parses a reply. Its words are the trace id, the kind, and for replyWithBody the length of
// the body.
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

// timeoutMs returns a call's timeout for commandCall in milliseconds, at least 1.
func timeoutMs(timeout time.Duration) int64 { return max(1, timeout.Milliseconds()) }
