// Package plan schedules the maintenance of a durable store: when a segment is sealed,
// compacted or dropped, when a checkpoint is taken, the rate of that work, and when the
// store rejects writes for lack of disk space.
//
// It is a pure state machine without I/O, goroutines or a clock: the store passes
// its [State] to [Planner.Next], runs the [Step] that it returns, and reports the bytes
// that the step read and wrote with [Planner.Charge]. A Planner is not safe for
// concurrent use.
package plan
