package standin

import (
	"fmt"
	"net"
	"time"
)

// CallResult is how a call to the records service ends, as the protocol names it.
type CallResult string

// The results of a call.
const (
	CallDone     CallResult = "DONE"  // with the reply "recorded"
	CallRejected CallResult = "WAIT"  // it never ran
	CallFailed   CallResult = "ERROR" // it may have had its effect
	// CallLost is no word of the protocol: the connection ends without a reply, and the call may
	// have had its effect.
	CallLost CallResult = ""
)

// RecordsService answers every call with "recorded", or as ResultFunc says.
type RecordsService struct {
	// ReplyDelay is the time from a call to its answer.
	ReplyDelay time.Duration
	// ResultFunc is called for the result of each call, if it is set. It must not block.
	ResultFunc func(traceID string) CallResult
}

// Serve accepts connections until the listener is closed.
func (s *RecordsService) Serve(listener net.Listener) error {
	isCall := func(name string) bool { return name == "OP" }
	return serve(listener, func(conn net.Conn) {
		readCommands(conn, isCall, func(command lineCommand) {
			if !isCall(command.name()) {
				return
			}
			time.Sleep(s.ReplyDelay)
			s.reply(conn, command.id())
		})
	})
}

func (s *RecordsService) reply(conn net.Conn, traceID string) {
	result := CallDone
	if s.ResultFunc != nil {
		result = s.ResultFunc(traceID)
	}
	switch result {
	case CallDone:
		const body = "recorded"
		fmt.Fprintf(conn, "%s %s %d\r\n%s\r\n", traceID, result, len(body), body)
	case CallLost:
		conn.Close()
	default:
		fmt.Fprintf(conn, "%s %s\r\n", traceID, result)
	}
}
