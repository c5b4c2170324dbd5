// Package exchange connects the dispatcher with the frontends and the backend clients (engine, AJP
// upstreams, records). It defines the messages between them, independent of any wire protocol, and
// the queue that delivers messages to the dispatcher's goroutine.
//
// Any goroutine may call Submit, Post, Wakeup, Healthy and AdvertisedValue. Only the dispatcher's
// goroutine may call Dequeue, ReleaseRequest, SetHealthy and SetAdvertisedValue, receive from
// WakeupChan, and call the methods of Runner and DependencyClient. The dispatcher also calls
// Responder.Respond, whose implementations pass the bytes to the event loop and do not block.
package exchange
