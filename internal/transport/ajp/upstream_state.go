package ajp

// upstreamState is what a connection to an upstream is doing.
type upstreamState uint8

const (
	upstreamDialing  upstreamState = iota // not open yet; nothing was sent
	upstreamChecking                      // CPING was sent, CPONG is awaited; its run was not sent
	upstreamBusy                          // its run was sent, and may run
	upstreamIdle                          // kept for the next run
	upstreamClosed
)

// String returns the name of s.
func (s upstreamState) String() string {
	return [...]string{"dialing", "checking", "busy", "idle", "closed"}[s]
}

// upstreamEvent is what happens to a connection to an upstream.
type upstreamEvent uint8

const (
	upstreamPinged   upstreamEvent = iota // CPING is sent
	upstreamSent                          // a run is sent
	upstreamReleased                      // CPONG has come and there is no run, or a run has ended
	upstreamLost
)

// next returns the state after an event. It holds all transitions; an event that is none in a
// state leaves it as it is.
func (s upstreamState) next(event upstreamEvent) upstreamState {
	switch {
	case event == upstreamLost:
		return upstreamClosed
	case event == upstreamPinged && (s == upstreamDialing || s == upstreamIdle):
		return upstreamChecking
	case event == upstreamSent && (s == upstreamDialing || s == upstreamChecking):
		return upstreamBusy
	case event == upstreamReleased && (s == upstreamChecking || s == upstreamBusy):
		return upstreamIdle
	}
	return s
}
