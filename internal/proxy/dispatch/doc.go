// Package dispatch connects the frontends, the admission controller, and the clients of the engine
// and the records service. It makes no admission decisions and implements no wire protocol.
//
// # Goroutines
//
// The goroutine that calls [Dispatcher.Run] owns the Dispatcher with all its fields, the admission
// controller, the idempotency table, the timer queue, and the state of the backend clients (engine,
// upstreams, records, registry), whose methods it calls. Other goroutines (the event loop, signal
// handlers) communicate with it only through the exchange; an exchange.Callback runs code in the
// dispatcher's goroutine. Frontends protect their connections with locks, because the event loop
// uses the connections too.
//
// # Processing of a request
//
//   - arrival.go: an exchange.Request is dequeued, checked for duplicates, tracked, and
//     reported to the controller.
//   - dispatcher.go: the controller is called once per iteration of Run with all events of the
//     iteration, and returns actions.
//   - actions.go: the actions are executed in order.
//   - runs.go: the engine starts, stops and resumes the run, and reports its end.
//   - calls.go: a run that needs the records service waits for its call.
//   - response.go: the caller gets exactly one final response, and the request is removed.
//
// # Rules
//
// Each rule is implemented in one file:
//
//   - states of a request and the transitions between them: state.go
//   - which response is final, and which responses may promise that nothing ran: response.go
//   - which requests are started at most once: atmostonce.go
//   - how duplicates of a request share one run: idempotency.go
//   - how long gauge values are valid: gauges.go
//   - when the service stops: drain.go
package dispatch
