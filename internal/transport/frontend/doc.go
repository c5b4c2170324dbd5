// Package frontend implements the protocol-independent part of the caller-facing side: the listener,
// the life cycle of its connections, the fields of a request and the response to it. Packages fastcgi
// and ajp each add a Codec for their protocol.
//
// # Ways to close a connection
//
// The table shows what each way does to received bytes that are not parsed, to open requests, and to
// responses that are not sent. "Stays open" means that the connection is not closed in that case.
//
//	                          unparsed bytes      open requests         unsent bytes
//	Conn.CloseIfIdle          stays open          stays open            stays open
//	Conn.Drain                requests rejected   answered; incomplete  sent
//	                                              ones are rejected
//	closeOnceAnswered         requests rejected   completed, answered   sent
//	CloseGracefully (1)       dropped             not answered          sent
//	CloseIfNoPendingData (1)  stays open          not checked           stays open
//	Abort (1)                 dropped             reported as aborted   dropped
//
// (1) Method of eventloop.Conn, which does not know about requests. Server.CloseIdle calls CloseIfIdle
// for each connection, and Server.DrainConnections calls Drain.
//
// # Goroutines
//
// The event loop's goroutine parses bytes and submits complete requests to the exchange (Conn.OnData,
// Conn.OnClose and the Codec's Feed). The dispatcher's goroutine writes responses, closes idle and
// stalled connections, and drains. The listener's goroutine accepts new connections. The lock of a Conn
// guards the Conn and the requests of its Codec against concurrent access. The lock of the Server is
// taken before that of a Conn.
package frontend
