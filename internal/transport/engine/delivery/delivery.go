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
	// Read means that the engine has answered what was written after it on the same connection.
	Read
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
	NotSent:     {written: Sent, readShown: Read, noticed: Started, connectionLost: NotSent},
	Sent:        {written: Sent, readShown: Read, noticed: Started, connectionLost: Unconfirmed},
	Unconfirmed: {written: Sent, readShown: Read, noticed: Started, connectionLost: Unconfirmed},
	Read:        {written: Sent, readShown: Read, noticed: Started, connectionLost: Read},
	Started:     {written: Sent, readShown: Started, noticed: Started, connectionLost: Started},
}

// event is what happens to a command.
type event uint8

const (
	written        event = iota // on the current connection
	readShown                   // the engine has answered what was written after it
	noticed                     // a notice has told of its run
	connectionLost              // or another one has taken its place
	numEvents
)

// Connection counts the polls on the current connection. The engine answers in order, so that an
// answer shows that everything before its poll was read. The zero value is a new connection.
type Connection struct{ pollsSent, pollsAnswered int }

// PollSent notes that a poll was written.
func (c *Connection) PollSent() { c.pollsSent++ }

// PollAnswered notes the answer to the oldest poll that had none.
func (c *Connection) PollAnswered() { c.pollsAnswered++ }

// Command is one that may be lost with its connection. The zero value was not sent.
type Command struct {
	state State
	polls int // that were sent on its connection before it
}

// State returns what is known of the command.
func (c *Command) State() State { return c.state }

// Written notes that the command was written on a connection, which is the current one.
func (c *Command) Written(on *Connection) {
	c.state = transitions[c.state][written]
	c.polls = on.pollsSent
}

// Noticed notes that a notice has told of the command's run.
func (c *Command) Noticed() { c.state = transitions[c.state][noticed] }

// ConnectionLost notes that the current connection was lost, or that another one takes its place.
func (c *Command) ConnectionLost(lost *Connection) {
	if c.state == Sent && c.polls < lost.pollsAnswered {
		c.state = transitions[c.state][readShown]
	}
	c.state = transitions[c.state][connectionLost]
}

// Notices says what a new connection has brought of the notices that were missed without one.
type Notices uint8

const (
	// NoticesComplete means that all of them were read, so that a run of which none tells has not ended when
	// the engine sent the last.
	NoticesComplete Notices = iota
	// NoticesMissing means that the engine had dropped some, or has restarted. Any run may have ended.
	NoticesMissing
)

// Effect says how often the engine may run what a command orders.
type Effect uint8

const (
	// Once means that a second run would do harm.
	Once Effect = iota
	// Repeatable means that it may run any number of times.
	Repeatable
)

// Action is what to do about a command on a new connection, once the missed notices are read.
type Action uint8

const (
	// Leave means that nothing is to be done.
	Leave Action = iota
	// Send means that the command is written on the new connection.
	Send
	// Await means that the command may be lost, and sending it again may do harm. A notice tells if it was
	// read; if none comes in time, the request fails.
	Await
	// AwaitRead means that the engine has read the command, and no notice has told of its run. If none
	// comes in time it was lost all the same: it is sent again if its effect allows that, or the
	// request fails.
	AwaitRead
	// GiveUp means that what came of the command can't be known any more. The request fails.
	GiveUp
)

// String returns the name of a.
func (a Action) String() string {
	return [...]string{"leave", "send", "await", "await read", "give up"}[a]
}

// Resync decides on a command of an earlier connection. A command that was read is not sent again
// at once while its notices are complete, whatever its effect.
func (c *Command) Resync(notices Notices, effect Effect) Action {
	switch {
	case c.state == NotSent:
		return Send
	case c.state == Sent, c.state == Started && notices == NoticesComplete:
		return Leave
	case c.state == Read && notices == NoticesComplete:
		return AwaitRead
	case effect == Repeatable:
		return Send
	case notices == NoticesMissing:
		return GiveUp
	}
	return Await
}
