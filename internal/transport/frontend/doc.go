// Package frontend is the part of the service that faces its callers, whatever protocol they
// speak: the listener and its connections, the life cycle of a connection, the fields of a
// request and the response to it. Packages fastcgi and ajp each add a Codec.
//
// # Ways to close a connection
//
// What happens to bytes that have arrived and are not parsed, to open requests, and to responses
// that are not sent yet:
//
//	                     unparsed bytes      open requests         unsent bytes
//	Conn.CloseIfIdle     not closed          not closed            not closed
//	Conn.Drain           begin no request    answered; incomplete  sent
//	                                         ones are forgotten
//	closeOnceAnswered    begin no request    completed, answered   sent
//	CloseGracefully (1)  dropped             not answered          sent
//	CloseIfQuiet (1)     not closed          not looked at         not closed
//	Abort (1)            dropped             reported as gone      dropped
//
// (1) of eventloop.Conn, which knows no requests. Server.CloseIdle calls CloseIfIdle, and
// Server.DrainConnections calls Drain, for each connection.
//
// # Goroutines
//
// Bytes are parsed on the event loop's goroutine (Conn.OnData, Conn.OnClose and the Codec's
// Feed), which also hands complete requests to the exchange. Answers, the reaping of idle and
// stalled connections and the drain run on the dispatcher's goroutine. New connections arrive
// on the goroutine of the listener. A Conn's lock orders them: it guards the Conn and the
// requests that its Codec keeps. The lock of the Server is taken before that of a Conn.
package frontend
