// Package standin has the smallest engine, records service and caller that the program
// works with. They stand in for the real ones in examples, in `oxbowbridge try` and in
// load trials, and are not for production.
//
// An [Engine] or a [RecordsService] serves a listener until it is closed, each
// connection from a goroutine of its own; the engine's mutex guards what its runs
// share. [Call] sends one request over FastCGI. A connection that sends something
// malformed is closed without an answer.
package standin
