// Package delivery decides what becomes of the commands that a lost connection to the engine may
// have taken along. It is pure: no I/O and no clock.
//
// The engine runs a request once more if it reads RUN after the run has ended, and it does not say
// which commands it has read. A command whose reading nothing has shown may have been read, and a
// run may end between any answer of the engine and the command that is sent because of it. So a
// command is sent again only where that does no harm at whatever moment the engine reads it: where
// the run may be repeated, or where the command was never sent.
package delivery

// State is what is known of one command.
type State uint8

const (
	// NotSent means that it was written on no connection. The engine can't have read it.
	NotSent State = iota
	// Sent means that it was written on the current connection, and that nothing has shown that it was read.
	Sent
	// Unconfirmed means that its connection was lost before anything showed that it was read.
	Unconfirmed
	// Acknowledged means that the engine has answered what was written after it on the same connection.
	Acknowledged
	// Started means that a notice has told of its run. Another one will tell of the end.
	Started
	numStates
)

// String returns the name of s.
func (s State) String() string {
	return [...]string{"not sent", "sent", "unconfirmed", "read", "started"}[s]
}

// transitions has the state after each event. An event that changes nothing leads to the same state.
var transitions = [numStates][numEvents]State{
	NotSent:      {sent: Sent, acknowledged: Acknowledged, notified: Started, connectionLost: NotSent},
	Sent:         {sent: Sent, acknowledged: Acknowledged, notified: Started, connectionLost: Unconfirmed},
	Unconfirmed:  {sent: Sent, acknowledged: Acknowledged, notified: Started, connectionLost: Unconfirmed},
	Acknowledged: {sent: Sent, acknowledged: Acknowledged, notified: Started, connectionLost: Acknowledged},
	Started:      {sent: Sent, acknowledged: Started, notified: Started, connectionLost: Started},
}

// event is what happens to a command.
type event uint8

const (
	sent           event = iota // on the current connection
	acknowledged                // the engine has answered what was written after it
	notified                    // a notice has told of its run
	connectionLost              // or another one has taken its place
	numEvents
)

// ConnectionPolls counts the polls on the current connection. The engine answers in order, so that an
// answer shows that everything before its poll was read. The zero value is a new connection.
type ConnectionPolls struct{ pollsSent, pollsAnswered int }

// PollSent notes that a poll was written.
func (c *ConnectionPolls) PollSent() { c.pollsSent++ }

// PollAnswered notes the answer to the oldest poll that had none.
func (c *ConnectionPolls) PollAnswered() { c.pollsAnswered++ }

// Command is one that may be lost with its connection. The zero value was not sent.
type Command struct {
	state       State
	pollsBefore int // that were sent on its connection before it
}

// State returns what is known of the command.
func (c *Command) State() State { return c.state }

// MarkSent notes that the command was written on a connection, which is the current one.
func (c *Command) MarkSent(polls *ConnectionPolls) {
	c.state = transitions[c.state][sent]
	c.pollsBefore = polls.pollsSent
}

// MarkStarted notes that a notice has told of the command's run.
func (c *Command) MarkStarted() { c.state = transitions[c.state][notified] }

// MarkConnectionLost notes that the current connection was lost, or that another one takes its place.
func (c *Command) MarkConnectionLost(polls *ConnectionPolls) {
	if c.state == Sent && c.pollsBefore < polls.pollsAnswered {
		c.state = transitions[c.state][acknowledged]
	}
	c.state = transitions[c.state][connectionLost]
}

// NotificationHistory says what a new connection has brought of the notices that were missed without one.
type NotificationHistory uint8

const (
	// HistoryComplete means that all of them were read, so that a run of which none tells has not ended when
	// the engine sent the last.
	HistoryComplete NotificationHistory = iota
	// HistoryIncomplete means that the engine had dropped some, or has restarted. Any run may have ended.
	HistoryIncomplete
)

// Idempotency says how often the engine may run what a command orders.
type Idempotency uint8

const (
	// NotIdempotent means that a second run would do harm.
	NotIdempotent Idempotency = iota
	// Idempotent means that it may run any number of times.
	Idempotent
)

// Action is what to do about a command on a new connection, once the missed notices are read.
type Action uint8

const (
	// NoAction means that nothing is to be done.
	NoAction Action = iota
	// Send means that the command is written on the new connection.
	Send
	// AwaitUnconfirmed means that the command may be lost, and sending it again may do harm. A notice tells if it was
	// read; if none comes in time, the request fails.
	AwaitUnconfirmed
	// AwaitAcknowledged means that the engine has read the command, and no notice has told of its run. If none
	// comes in time it was lost all the same: it is sent again if its effect allows that, or the
	// request fails.
	AwaitAcknowledged
	// GiveUp means that what came of the command can't be known any more. The request fails.
	GiveUp
)

// String returns the name of a.
func (a Action) String() string {
	return [...]string{"leave", "send", "await", "await read", "give up"}[a]
}

// Resync decides on a command of an earlier connection. A command that was read is not sent again
// at once while its notices are complete, whatever its effect.
func (c *Command) Resync(history NotificationHistory, idempotency Idempotency) Action {
	switch {
	case c.state == NotSent:
		return Send
	case c.state == Sent, c.state == Started && history == HistoryComplete:
		return NoAction
	case c.state == Acknowledged && history == HistoryComplete:
		return AwaitAcknowledged
	case idempotency == Idempotent:
		return Send
	case history == HistoryIncomplete:
		return GiveUp
	}
	return AwaitUnconfirmed
}
