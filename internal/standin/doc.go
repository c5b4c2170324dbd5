// Package standin has minimal implementations of an engine, a records service and a caller. They replace
// the real ones in examples, in `oxbowbridge try` and in load tests. They are not for production.
//
// An [Engine] or a [RecordsService] serves a listener until it is closed. It handles each connection in a
// separate goroutine. The engine's mutex guards the state that its runs share. [Call] sends one request
// over FastCGI. A connection that sends a malformed command is closed without a reply.
package standin
