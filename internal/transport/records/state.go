package records

// connState is what a connection to the service is doing.
type connState uint8

const (
	connDialing connState = iota // not open yet: its call was not sent
	connBusy                     // its call was sent
	connIdle                     // kept for the next call
	connClosed
)

// String returns the name of s.
func (s connState) String() string {
	return [...]string{"dialing", "busy", "idle", "closed"}[s]
}

// connEvent is what happens to a connection.
type connEvent uint8

const (
	callSent connEvent = iota
	callReplied
	connEnded
)

// next returns the state after an event. It holds all transitions; an event that is none in a
// state leaves it as it is.
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
