// Package admission decides, inside one server, which requests are admitted,
// queued, run, rejected or failed when there is more work than the server can
// do.
//
// A server owns one [Controller]. It reports what happened with
// [Controller.Handle] and carries out the returned actions in order, at the same
// instant. The events of one call of Handle are a batch. The controller has no clock, goroutine, I/O or global state: the
// server owns the clock, calls must be serialised, and equal calls give equal
// actions, bit for bit. The order of floating-point operations is part of that.
//
// Every [Arrival] obliges the server to hold the request until an action starts
// or answers it; a request without an action stays queued. Each [Run] that
// starts a run, and each [ShareResult], is followed by one [Completed].
// [SetTimer] asks for one [TimerFired] event, which must carry the server's
// gauges; the first one in each 250 ms is a gauge tick, at which the decisions that hold
// until the next tick are made.
//
// Admission follows UCRL-AC of "Reinforcement Learning and Regret Bounds for
// Admission Control"; comments cite its equations, propositions and sections.
// Each decision stands in a file of its own, with its constants.
package admission
