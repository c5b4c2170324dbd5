// Package exchange is where the frontends and the backend side (engine, AJP upstreams,
// records) meet the dispatcher. It has the messages between them, in no protocol's terms,
// and the queue that brings them into the dispatcher's goroutine.
//
// Any goroutine may call Submit, Post, Wakeup, Healthy and AdvertisedValue. Only the dispatcher's calls
// Dequeue, ReleaseRequest, SetHealthy and SetAdvertisedValue, reads WakeupChan, and calls the methods of Runner
// and DependencyClient. Respond is called by the dispatcher; its implementations hand the
// bytes to the event loop and do not block.
package exchange
