// Package frontend is the part of the service that faces its callers, whatever protocol they
// speak: the listener and its connections, the life cycle of a connection, the fields of a
// request and the response to it. Packages fastcgi and ajp each add a Codec.
//
// # Goroutines
//
// Bytes are parsed on the event loop's goroutine (Conn.OnData, Conn.OnClose and the Codec's
// Feed), which also hands complete requests to the exchange. Answers, the reaping of idle and
// stalled connections and the drain run on the dispatcher's goroutine. New connections arrive
// on the goroutine of the listener. A Conn's lock orders them: it guards the Conn and the
// requests that its Codec keeps. The lock of the Server is taken before that of a Conn.
package frontend
