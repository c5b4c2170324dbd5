// Package maintenance decides which machines may be taken out of service for maintenance, when, and
// why the others wait. It does no I/O and reads no clock: Decide is a pure function from an
// Observation to a Decision, so all nodes with the same observation reach the same decision.
//
// An Order is a request for maintenance of one machine. Its Phase moves from requested through granted,
// draining, out and returned to completed (see Phase for all transitions). The DisruptionBudget, which
// operators set, limits how many machines and how much capacity may be out of service at a time. Orders
// wait in a Queue by priority and then by time of arrival. Later orders may overtake one that does not
// fit into the budget, but for at most DisruptionBudget.MaxOvertakingMS.
//
// A Plan is a forecast for operators: a schedule of all waiting orders. No decision depends on it.
//
// All times are Unix milliseconds or durations in milliseconds, unless a type says otherwise.
package maintenance
