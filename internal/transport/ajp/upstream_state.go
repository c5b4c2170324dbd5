package ajp

// upstreamState is the state of a connection to an upstream.
type upstreamState uint8

const (
	upstreamDialing  upstreamState = iota // the connection is not open yet
	upstreamChecking                      // CPING was sent and CPONG has not arrived; no request was sent
	upstreamBusy                          // the request of a run was sent
	upstreamIdle                          // available for the next run
	upstreamClosed
)

// String returns the name of the state.
func (s upstreamState) String() string {
	return [...]string{"dialing", "checking", "busy", "idle", "closed"}[s]
}

// upstreamEvent is an event that changes the state of a connection to an upstream.
type upstreamEvent uint8

const (
	upstreamPingSent    upstreamEvent = iota // CPING was sent
	upstreamRequestSent                      // the request of a run was sent
	upstreamFreed                            // CPONG arrived without an assigned run, or a run has ended
	upstreamConnLost
)

// next returns the state after an event. It defines all transitions. An event without a transition from
// s leaves the state unchanged.
func (s upstreamState) next(event upstreamEvent) upstreamState {
	switch {
	case event == upstreamConnLost:
		return upstreamClosed
	case event == upstreamPingSent && (s == upstreamDialing || s == upstreamIdle):
		return upstreamChecking
	case event == upstreamRequestSent && (s == upstreamDialing || s == upstreamChecking):
		return upstreamBusy
	case event == upstreamFreed && (s == upstreamChecking || s == upstreamBusy):
		return upstreamIdle
	}
	return s
}
