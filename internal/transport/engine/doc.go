// Package engine implements the session with the engine, the process on the same machine that runs
// the requests. A session is used on the dispatcher's goroutine only. The event loop's goroutine
// parses the input from the engine (see package session).
//
// # Connections
//
// At most one connection is in use, the current one. It is replaced in these cases:
//   - the connection is lost;
//   - the engine's address changes;
//   - the engine sends no HELLO on the connection for greetingTimeout;
//   - the engine sends no message during more than maxUnansweredPolls polls.
//
// Runs continue in the engine without a connection. The engine numbers its notifications, so a new
// connection resumes after the last one that was received. Package delivery decides which commands
// are sent again after a connection was lost, and resync.go carries that out.
//
// An engine whose uptime is smaller than on an earlier connection has restarted. It numbers its
// notifications from 1 again, and the outcome of runs in the earlier process can't be determined.
//
// Connections are numbered from 1. A message is dropped unless its connection is the current one or
// the latest that was dialed.
package engine
