package eventloop

// connState is the state of a connection on this side. An abort is no state of its own: it may
// happen in any state, and the loop's next event of the connection leads to connClosed.
type connState uint8

const (
	connOpen       connState = iota // bytes are written, and read for the Handler
	connFlushing                    // a close was requested: queued bytes are sent, input is dropped
	connHalfClosed                  // FIN was sent; input is dropped
	connClosed                      // the descriptor is closed
)

// String returns the name of s.
func (s connState) String() string {
	return [...]string{"open", "flushing", "half-closed", "closed"}[s]
}

// connEvent is what changes the state of a connection.
type connEvent uint8

const (
	closeRequested   connEvent = iota // by CloseGracefully or CloseIfQuiet
	flushed                           // all queued bytes were sent
	descriptorClosed                  // by the loop
)

// next returns the state after an event. It holds all transitions; an event that is none in a
// state leaves it as it is.
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
