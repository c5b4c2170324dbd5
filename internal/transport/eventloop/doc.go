// Package eventloop runs all TCP connections of the service on one event loop (nbio). Each connection has
// a Handler. A graceful close sends all written bytes before it closes the connection.
//
// # Goroutines
//
// The loop's goroutine reads all sockets, calls the Handlers, sends queued bytes when a socket becomes
// writable, and closes descriptors. Any goroutine may write; most writes are responses from the
// dispatcher's goroutine. Conn.Write sends as many bytes as the socket accepts at once, on the calling
// goroutine, and queues the rest for the loop. Each listener accepts on its own goroutine, and each dial
// runs on its own goroutine.
//
// # Closing
//
// Conn.CloseGracefully performs a lingering close: it sends all written bytes and a FIN, and then drops
// input until the peer closes its side too. Closing the descriptor with unread input would reset the
// connection, and the peer could lose bytes that were written before. See linger.go for the limits.
// Conn.Abort closes both directions at once. See state.go for the states.
package eventloop
