// Package membership decides how the leader of the replicated store changes the cluster's members:
// Policy.NextStep maps a View to one Step. The package does no I/O, reads no clock and has no
// goroutine or state: the same View and Policy give the same Step.
//
// A step preserves a healthy majority: if a majority of the voters is up and has the log before the
// step, so does a majority of the voters after it. The next step does not undo a step, unless the
// View has changed in between.
package membership
