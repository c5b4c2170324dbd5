// Package membership decides, for the leader of the replicated store, the next change of the
// cluster's members: a View goes in, one Step comes out. It does no I/O, reads no clock and has no
// goroutine or state: the same View and Policy give the same Step.
//
// Whatever the step is, a majority of the voters after it is up and has the log, if that was so
// before it. The next step does not undo it, unless the View has changed meanwhile.
package membership
