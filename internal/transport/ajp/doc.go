// Package ajp speaks AJP13, in both directions: a frontend for web servers that call the
// service, and a pool of upstream servers that run its requests.
//
// See package frontend for what all frontends share and for their goroutines. The pool belongs
// to the dispatcher's goroutine, but for the parsing of what upstreams send, which runs on the
// event loop's.
package ajp
