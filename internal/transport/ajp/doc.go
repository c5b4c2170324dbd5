// Package ajp implements both sides of AJP13: a frontend for web servers that call the service, and a pool
// of connections to upstream servers that run its requests.
//
// See package frontend for the code that all frontends share and for their goroutines. The pool is used
// only by the dispatcher's goroutine. Packets from upstreams are parsed on the event loop's goroutine.
package ajp
