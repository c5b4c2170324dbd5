package standin

import (
	"fmt"
	"net"
	"time"
)

// CallResult is the result of a call to the records service. Its value is the word for it in the protocol.
type CallResult string

// The results of a call.
const (
	CallDone     CallResult = "DONE"  // the call succeeded; its reply body is "recorded"
	CallRejected CallResult = "WAIT"  // the call was not executed
	CallFailed   CallResult = "ERROR" // the call may have been executed
	// CallLost closes the connection without a reply. It is not a word of the protocol. The call may have
	// been executed.
	CallLost CallResult = ""
)

// RecordsService replies "recorded" to every call, unless ResultFunc returns another result.
type RecordsService struct {
	// ReplyDelay is the time between a call and its reply.
	ReplyDelay time.Duration
	// ResultFunc, if set, returns the result of each call. It must not block.
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
