package standin

import (
	"fmt"
	"net"
	"time"
)

// RecordsService answers every call with "recorded".
type RecordsService struct {
	// ResponseDelay is the time from a call to its answer.
	ResponseDelay time.Duration
}

// Serve accepts connections until the listener is closed.
func (s *RecordsService) Serve(listener net.Listener) error {
	isCall := func(name string) bool { return name == "OP" }
	return serve(listener, func(conn net.Conn) {
		readCommands(conn, isCall, func(command lineCommand) {
			if !isCall(command.name()) {
				return
			}
			time.Sleep(s.ResponseDelay)
			const body = "recorded"
			fmt.Fprintf(conn, "%s DONE %d\r\n%s\r\n", command.id(), len(body), body)
		})
	})
}
