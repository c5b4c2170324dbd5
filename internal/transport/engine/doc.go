// Package engine is the session with the engine, the process on the same machine that runs the
// requests. It belongs to the dispatcher's goroutine; the event loop's parses what the engine
// sends (see package session).
//
// # Connections
//
// At most one connection is in use, the current one. It is replaced when it is lost, when the
// engine's address changes, when the engine sends no HELLO on it for greetingTimeout, or when it
// leaves maxUnansweredPolls polls without any message. Runs go on in the engine meanwhile, and
// notices are numbered, so that a new connection goes on where the last one ended. What becomes of
// commands that may be lost is decided in package delivery and carried out in resync.go.
// An engine whose uptime is smaller than on an earlier connection has restarted: its notices begin
// anew, and what its predecessor ran can't be known any more.
//
// Connections are numbered from 1, and a message of one that is neither current nor the latest
// to be dialed is dropped.
package engine
