package eventloop

// connState is the local state of a connection. An abort has no state of its own: it is possible in any
// state, and the next event of the connection leads to connClosed.
type connState uint8

const (
	connOpen       connState = iota // writes are accepted and input is passed to the Handler
	connFlushing                    // a close was requested; queued bytes are sent and input is dropped
	connHalfClosed                  // the FIN was sent; input is dropped
	connClosed                      // the descriptor is closed
)

// String returns the name of the state.
func (s connState) String() string {
	return [...]string{"open", "flushing", "half-closed", "closed"}[s]
}

// connEvent is an event that changes the state of a connection.
type connEvent uint8

const (
	closeRequested   connEvent = iota // CloseGracefully or CloseIfNoPendingData was called
	flushed                           // all queued bytes were sent
	descriptorClosed                  // the loop closed the descriptor
)

// next returns the state after an event. It defines all transitions. An event without a transition from
// s leaves the state unchanged.
func (s connState) next(event connEvent) connState {
	switch {
	case event == descriptorClosed:
		return connClosed
	case event == closeRequested && s == connOpen:
		return connFlushing
	case event == flushed && s == connFlushing:
		return connHalfClosed
	}
	return s
}
