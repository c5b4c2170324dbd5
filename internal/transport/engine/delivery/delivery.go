// Package delivery decides whether a command to the engine is sent again after its connection was
// lost. It does no I/O and reads no clock.
//
// The engine runs a request a second time if it reads RUN after the first run has ended. It does
// not acknowledge commands one by one, so a command without proof of delivery may still have been
// read. A run may also end between an answer of the engine and the next command to it. A command
// is therefore sent again only where a second run does no harm: if the run is idempotent, or if
// the command was never sent.
package delivery

// State is the delivery state of a command.
type State uint8

const (
	// NotSent means that the command was written on no connection. The engine can't have read it.
	NotSent State = iota
	// Sent means that the command was written on the current connection and is not acknowledged yet.
	Sent
	// Unconfirmed means that the connection was lost before the engine acknowledged the command. The
	// engine may have read it.
	Unconfirmed
	// Acknowledged means that the engine has answered a poll that was written after the command on
	// the same connection, so it has read the command.
	Acknowledged
	// Started means that the engine has sent a notification about the command's run, which shows that
	// it has read the command. A later notification reports the end of the run.
	Started
	numStates
)

// String returns the state's name for the log.
func (s State) String() string {
	return [...]string{"not sent", "sent", "unconfirmed", "read", "started"}[s]
}

// transitions maps a state and an event to the next state. An event that changes nothing maps to the
// state itself.
var transitions = [numStates][numEvents]State{
	NotSent:      {sent: Sent, acknowledged: Acknowledged, notified: Started, connectionLost: NotSent},
	Sent:         {sent: Sent, acknowledged: Acknowledged, notified: Started, connectionLost: Unconfirmed},
	Unconfirmed:  {sent: Sent, acknowledged: Acknowledged, notified: Started, connectionLost: Unconfirmed},
	Acknowledged: {sent: Sent, acknowledged: Acknowledged, notified: Started, connectionLost: Acknowledged},
	Started:      {sent: Sent, acknowledged: Started, notified: Started, connectionLost: Started},
}

// event is an event in the delivery of a command.
type event uint8

const (
	sent           event = iota // the command was written on the current connection
	acknowledged                // the engine has answered a poll that was written after the command
	notified                    // the engine has sent a notification about the command's run
	connectionLost              // the connection was lost or replaced
	numEvents
)

// ConnectionPolls counts the polls on the current connection. The engine answers in order, so the
// answer to a poll shows that it has read every command written before that poll. The zero value is
// for a new connection.
type ConnectionPolls struct{ pollsSent, pollsAnswered int }

// PollSent records that a poll was written.
func (c *ConnectionPolls) PollSent() { c.pollsSent++ }

// PollAnswered records the answer to the oldest unanswered poll.
func (c *ConnectionPolls) PollAnswered() { c.pollsAnswered++ }

// Command tracks the delivery of one command to the engine. The zero value is a command that was not
// sent.
type Command struct {
	state       State
	pollsBefore int // polls that were sent before the command on its connection
}

// State returns the command's delivery state.
func (c *Command) State() State { return c.state }

// MarkSent records that the command was written on the current connection, whose polls are counted
// in polls.
func (c *Command) MarkSent(polls *ConnectionPolls) {
	c.state = transitions[c.state][sent]
	c.pollsBefore = polls.pollsSent
}

// MarkStarted records that the engine has sent a notification about the command's run.
func (c *Command) MarkStarted() { c.state = transitions[c.state][notified] }

// MarkConnectionLost records that the current connection was lost or replaced. The command counts as
// acknowledged if the engine has answered a poll that was sent after it.
func (c *Command) MarkConnectionLost(polls *ConnectionPolls) {
	if c.state == Sent && c.pollsBefore < polls.pollsAnswered {
		c.state = transitions[c.state][acknowledged]
	}
	c.state = transitions[c.state][connectionLost]
}

// NotificationHistory says whether the engine, after a reconnect, delivered all the notifications that
// were missed while there was no connection.
type NotificationHistory uint8

const (
	// HistoryComplete means that all missed notifications were received. A run without a notification
	// of its end had not ended when the engine sent the last of them.
	HistoryComplete NotificationHistory = iota
	// HistoryIncomplete means that the engine has dropped some notifications or has restarted. Any run
	// may have ended.
	HistoryIncomplete
)

// Idempotency says whether the engine may run a request more than once.
type Idempotency uint8

const (
	// NotIdempotent means that the request must run at most once.
	NotIdempotent Idempotency = iota
	// Idempotent means that the request may run any number of times.
	Idempotent
)

// Action is the decision about a command on a new connection, made once the missed notifications are
// read.
type Action uint8

const (
	// NoAction means that the command needs no further action.
	NoAction Action = iota
	// Send means that the command is written on the new connection.
	Send
	// AwaitUnconfirmed means that the command may be lost and that its run is not idempotent, so it is
	// not sent again. A notification shows that the engine has read it. The request fails if no
	// notification arrives in time.
	AwaitUnconfirmed
	// AwaitAcknowledged means that the engine has read the command and has sent no notification about
	// its run. If none arrives in time, the run counts as lost: the command is sent again if the run
	// is idempotent, and otherwise the request fails.
	AwaitAcknowledged
	// GiveUp means that the outcome of the command can no longer be determined. The request fails.
	GiveUp
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"leave", "send", "await", "await read", "give up"}[a]
}

// Resync decides what to do about a command that was sent on an earlier connection. While the
// notification history is complete, an acknowledged command is not sent again at once, even if its
// run is idempotent.
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
