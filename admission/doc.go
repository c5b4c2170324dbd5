// Package admission decides, for one server, which requests are admitted, queued, run, rejected or
// failed when the load exceeds the server's capacity.
//
// A server owns one [Controller]. It passes events to [Controller.Handle] and executes the returned
// actions in order, at the same clock time. The events of one call of Handle form a batch. The
// controller has no clock, goroutine, I/O or global state: the server owns the clock and serializes
// the calls. Equal sequences of calls return bit-identical actions, so the order of floating-point
// operations must not change.
//
// After an [Arrival] the server must hold the request until an action starts or answers it; a
// request without an action stays queued. The server reports one [Completed] for each run that a
// [Run] starts and for each [ShareResult]. [SetTimer] requests one [TimerFired] event, which must
// carry the server's gauges. The first TimerFired in each 250 ms is a gauge tick: it updates the
// decisions that hold until the next gauge tick.
//
// The admission policy is UCRL-AC from the paper "Reinforcement Learning and Regret Bounds for
// Admission Control"; comments cite the paper's equations, propositions and sections. Each file
// holds one decision and its constants.
package admission
