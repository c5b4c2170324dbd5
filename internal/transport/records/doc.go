// Package records is the client of the records service, which takes the calls that runs make to
// the next tier. It belongs to the dispatcher's goroutine; the event loop's parses what the
// service sends (see package session).
//
// Each connection carries one call at a time: after a malformed reply a connection is of no use,
// and must not take other calls with it. There are at most as many connections as the pool has
// descriptors for calls; further calls queue, and an idle connection makes room for one.
package records
