// Package lease decides who holds a lease, under which fencing token, who waits for it, and
// when it ends. It does no I/O and reads no clock: times are parameters.
//
// # Parts
//
//   - State is replicated. Grants, releases and expiries are log entries, so all nodes agree on
//     the holder and no token is issued twice.
//   - DeadlineTable is the leader's and is not replicated. It extends leases on keep-alives in
//     memory, and returns the operations that end expired leases, which go through the log.
//   - HolderState is the holder's. It computes until when the holder may act.
//
// # Who may hold a lease, and until when
//
// All times are monotonic and local to one process; no two clocks are compared.
//
//   - A holder may act for TTL * (1 - SafetyMargin), measured from when it sent the last
//     request or keep-alive that was answered (HolderState.Deadline). It sends the next
//     keep-alive TTL/3 after it sent that one (HolderState.RenewalDue).
//   - A leader ends a lease a full TTL after the last keep-alive arrived
//     (DeadlineTable.Renew, DeadlineTable.DueOps). A keep-alive is sent before it arrives, so the
//     holder stops first, as long as the rates of the two clocks differ by no more than
//     SafetyMargin covers.
//   - A new leader does not know which keep-alives its predecessor answered. It extends each
//     lease to a full TTL after its own election (NewDeadlineTable).
//   - After a keep-alive arrives, a leader confirms that it is still the leader before it answers.
//   - A holder that has released a token ignores later answers with that token or an older
//     one: its release may still be in flight.
//
// # Fencing
//
// A process may be suspended for any time between the call of MayAct and the action itself, so
// the deadline alone is no protection. Each grant therefore has a FencingToken that is higher
// than all tokens issued before, for any lease. The store executes a write with a fencing token
// only while the lease is held under that token (State.IsHeld). A resource outside the store must
// remember the highest token that it has accepted, and reject lower ones.
package lease
