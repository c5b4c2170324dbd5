// Package eventloop runs all TCP connections of the service on one event loop (nbio), with one
// Handler for each connection and a close that loses nothing that was written.
//
// # Goroutines
//
// One goroutine, the loop's, reads all sockets, calls the Handlers, sends queued bytes when a
// socket has room again, and closes descriptors. Any goroutine may write, mostly the
// dispatcher's with answers: Conn.Write sends what the socket takes at once, in the caller's
// goroutine, and queues the rest for the loop. Each listener accepts on a goroutine of its own,
// and each dial has one until it is done.
//
// # Closing
//
// Conn.CloseGracefully sends what was written, ends this side (FIN), and then drops what the
// peer still sends until the peer ends its side too: a close over unread bytes would reset the
// connection under what was written (lingering close, see linger.go for its bounds).
// Conn.Abort closes both directions at once. See state.go for the states.
package eventloop
