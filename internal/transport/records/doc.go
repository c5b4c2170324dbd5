// Package records implements the client of the records service, which handles the calls that runs make
// to the next tier. A client is used on the dispatcher's goroutine only. The event loop's goroutine
// parses the input from the service (see package session).
//
// Each connection carries one call at a time, since a malformed reply makes the connection unusable
// and other calls must not fail with it. The number of connections is limited by the descriptors that
// the pool has for calls. Further calls queue. If no descriptor is left, an idle connection is closed
// to make room for a call.
package records
