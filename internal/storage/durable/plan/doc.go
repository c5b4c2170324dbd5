// Package plan decides the maintenance of a durable store: when the log is sealed,
// when a checkpoint is taken, which segment is compacted, what may be dropped, how
// fast that goes, and when the store rejects writes for want of space.
//
// It is a pure state machine without I/O, goroutines or a clock: the store passes
// its [State] to [Planner.Next], carries out the [Step] that it returns, and
// reports the bytes that the step took with [Planner.Charge]. A Planner may be used
// from one goroutine at a time.
package plan
