package records

// connState is the state of a connection to the service.
type connState uint8

const (
	connDialing connState = iota // the dial is in progress and the call is not sent
	connBusy                     // a call was sent and has no reply yet
	connIdle                     // open, without a call
	connClosed
)

// String returns the state's name.
func (s connState) String() string {
	return [...]string{"dialing", "busy", "idle", "closed"}[s]
}

// connEvent is an event that changes the state of a connection.
type connEvent uint8

const (
	callSent connEvent = iota
	callReplied
	connEnded
)

// next returns the state after an event. It contains all transitions. An event without a transition
// from s leaves the state unchanged.
func (s connState) next(event connEvent) connState {
	switch {
	case event == connEnded:
		return connClosed
	case event == callSent && (s == connDialing || s == connIdle):
		return connBusy
	case event == callReplied && s == connBusy:
		return connIdle
	}
	return s
}
