package engine

import (
	"strconv"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/lineproto"
)

// The commands to the engine, as the protocol names them. These names appear in no other file.
const (
	commandAttach       = "ATTACH" // number of the last notice that was read, 0 after a start
	commandRun          = "RUN"    // trace id, class, and the body
	commandStop         = "HALT"   // trace id
	commandResume       = "RESUME" // trace id
	commandDeliverReply = "FEED"   // trace id, and the reply
	commandStats        = "STAT"   // a tag, which the answer repeats
)

// The tags of commandStats.
const (
	tagSync   = "sync"   // the answer shows that all missed notices have been read
	tagGauges = "gauges" // the answer is reported
)

// The messages of the engine. Those of the second group are notices, which are numbered.
const (
	messageHello    = "HELLO" // state at its start, milliseconds since then
	messageStats    = "STATS" // tag, and the gauges in the order of the settings
	messageRejected = "NO"    // the command that was not carried out

	notificationDone       = "DONE" // number, trace id, result, duration in milliseconds, and the body
	notificationCallNeeded = "NEED" // number, trace id, and the body of the call
	notificationRemark     = "NOTE" // number, and a text without a meaning
)

// stateColdStart, in messageHello, is the state of an engine that started cold and warms up; any
// other state is that of a warm one.
const stateColdStart = "COLD"

// results are the results of a run, as noticeDone names them.
var results = map[string]exchange.Result{
	"OK":      exchange.ResultOK,
	"ERROR":   exchange.ResultError,
	"STOPPED": exchange.ResultStopped,
	"MOOT":    exchange.ResultObsolete,
}

// hasPayload reports whether a payload follows a line of the engine.
func hasPayload(words []string) bool {
	return words[0] == notificationDone || words[0] == notificationCallNeeded
}

func isNotification(kind string) bool {
	return kind == notificationDone || kind == notificationCallNeeded || kind == notificationRemark
}

// greeting is a messageHello.
type greeting struct {
	state    string
	uptimeMs int64 // since the engine's start
}

func parseGreeting(words []string) (greeting, error) {
	ms, err := strconv.ParseInt(words[2], 10, 64)
	return greeting{state: words[1], uptimeMs: ms}, err
}

// uptime is the time since the engine's start.
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

// completion is a noticeDone.
type completion struct {
	traceID  string
	result   exchange.Result
	duration time.Duration
	body     []byte
}

// parseCompletion reads a noticeDone. Where the result or the duration is at fault it reports
// so, and the run counts as failed.
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
