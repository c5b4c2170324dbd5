// Package dispatch connects the frontends, the admission controller and the clients of
// the engine and of the records service. It makes no admission decision and speaks no wire protocol.
//
// # Goroutines
//
// One goroutine, the one that calls [Dispatcher.Run], owns the Dispatcher with all its
// fields, the admission controller, the idempotency table, the timer queue, and the state
// of the backend side (engine, upstreams, records, registry), whose methods it calls. Other
// goroutines (the event loop, signal handlers) reach it through the exchange only, if need
// be with an exchange.Callback. Frontends guard their connections with locks, as the event
// loop uses them too.
//
// # The way of a request
//
//   - arrival.go: an exchange.Request is dequeued, checked for duplicates, recorded, and
//     reported to the controller.
//   - dispatcher.go: once per turn the controller gets all events of the turn and returns
//     actions.
//   - actions.go: each action is carried out, in order.
//   - runs.go: the engine starts, stops and resumes the run, and reports its end.
//   - calls.go: a run that needs the records service waits for its call.
//   - response.go: the caller gets the one final response, and the request is forgotten.
//
// # Rules
//
// Each rule stands in one place:
//
//   - which states a request goes through: state.go
//   - which response is final, and which responses may promise that nothing ran: response.go
//   - what may be started at most once: atmostonce.go
//   - how duplicates of a request share one run: idempotency.go
//   - how long measurements are valid: gauges.go
//   - when the service stops: drain.go
package dispatch
