// Package lease decides who holds a lease, under which fencing token, who waits for it, and
// when it ends. It does no I/O and reads no clock: callers pass times in.
//
// # Parts
//
//   - State is replicated. Grants, releases and expiries are entries of the log, so all nodes
//     agree on the holder and no token is given twice.
//   - DeadlineTable belongs to the leader and is not replicated. It answers keep-alives from
//     memory and says which leases to end, by an entry of the log.
//   - HolderState belongs to the holder. It says until when the holder may act.
//
// # Who may hold a lease, and until when
//
// All times are monotonic and local to one process; no two clocks are compared.
//
//   - A holder may act for TTL * (1 - SafetyMargin), counted from the moment at which it sent
//     the request or keep-alive that was answered (HolderState.Deadline). It sends the next
//     keep-alive TTL/3 after the last one that was answered (HolderState.RenewalDue).
//   - A leader ends a lease a full TTL after the last keep-alive arrived
//     (DeadlineTable.Renew, DeadlineTable.DueOps). The request was sent before it arrived, so the
//     holder stops first, as long as the rates of the two clocks differ by no more than
//     SafetyMargin covers.
//   - A new leader does not know which keep-alives its predecessor answered. It gives each
//     lease a full TTL from its own election (NewDeadlineTable).
//   - A leader answers a keep-alive only after it has made sure, since the keep-alive arrived,
//     that it still leads.
//   - A holder that has released a token ignores later answers with that token or an older
//     one: its release may still be on its way.
//
// # Fencing
//
// A process may be suspended between MayAct and the act itself for any time, so the deadline
// alone protects nothing that matters. Each grant has a FencingToken that is higher than all
// before it, for any name. The store carries out a write with a fencing token only while the
// lease is held under that token (State.IsHeld); a resource outside the store keeps the highest
// token that it has seen and refuses lower ones.
package lease
