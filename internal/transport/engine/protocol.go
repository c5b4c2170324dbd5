package engine

import (
	"strconv"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/lineproto"
)

// Commands to the engine, with their arguments. Only this file contains the protocol's names.
const (
	commandAttach       = "ATTACH" // number of the last notification received, 0 if there is none
	commandRun          = "RUN"    // trace id, class, and the body
	commandStop         = "HALT"   // trace id
	commandResume       = "RESUME" // trace id
	commandDeliverReply = "FEED"   // trace id, and the reply
	commandStats        = "STAT"   // a tag, which the answer repeats
)

// Tags of commandStats.
const (
	tagSync   = "sync"   // the answer shows that all missed notifications have been received
	tagGauges = "gauges" // the gauges in the answer are posted to the exchange
)

// Messages from the engine, with their arguments. Those in the second group are notifications, which
// carry a sequence number.
const (
	messageHello    = "HELLO" // state when the engine started, milliseconds since its start
	messageStats    = "STATS" // tag, and the gauges in the order of the settings
	messageRejected = "NO"    // the rejected command

	notificationDone       = "DONE" // number, trace id, result, duration in milliseconds, and the body
	notificationCallNeeded = "NEED" // number, trace id, and the body of the call
	notificationRemark     = "NOTE" // number, and a free text, which is ignored
)

// stateColdStart is the state in messageHello of an engine that started with cold caches and is
// warming up. Any other state means that the engine is warm.
const stateColdStart = "COLD"

// results maps the result words of notificationDone to the results of a run.
var results = map[string]exchange.Result{
	"OK":      exchange.ResultOK,
	"ERROR":   exchange.ResultError,
	"STOPPED": exchange.ResultStopped,
	"MOOT":    exchange.ResultObsolete,
}

// hasPayload reports whether a payload follows a line from the engine.
func hasPayload(words []string) bool {
	return words[0] == notificationDone || words[0] == notificationCallNeeded
}

func isNotification(kind string) bool {
	return kind == notificationDone || kind == notificationCallNeeded || kind == notificationRemark
}

// greeting is the content of a messageHello.
type greeting struct {
	state    string
	uptimeMs int64 // milliseconds since the engine's start
}

func parseGreeting(words []string) (greeting, error) {
	ms, err := strconv.ParseInt(words[2], 10, 64)
	return greeting{state: words[1], uptimeMs: ms}, err
}

// uptime returns the time since the engine's start.
func (g greeting) uptime() time.Duration { return time.Duration(g.uptimeMs) * time.Millisecond }

func parseGauges(values []string) (exchange.Gauges, error) {
	var gauges exchange.Gauges
	for _, text := range values {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, err
		}
		gauges = append(gauges, value)
	}
	return gauges, nil
}

// completion is the content of a notificationDone: the end of a run.
type completion struct {
	traceID  string
	result   exchange.Result
	duration time.Duration
	body     []byte
}

// parseCompletion parses a notificationDone. If the result or the duration is invalid, ok is false
// and the completion's result is exchange.ResultError.
func parseCompletion(m lineproto.Message) (c completion, ok bool) {
	c.traceID = m.Words[2]
	c.body = m.Payload
	ms, err := strconv.ParseFloat(m.Words[4], 64)
	c.duration = time.Duration(ms * float64(time.Millisecond))
	c.result, ok = results[m.Words[3]]
	if err != nil || !ok {
		c.result = exchange.ResultError
		return c, false
	}
	return c, true
}
