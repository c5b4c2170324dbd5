// Package maintenance decides which machines may be taken out for maintenance, when, and why the
// others wait. It does no I/O and reads no clock: an Observation goes in, a Decision comes out, and
// everybody with the same observation decides the same.
//
// An Order is a request for maintenance of one machine. Its Phase moves from requested over granted,
// draining, out and returned to completed (see Phase for all transitions). How many machines may be
// out at a time, and how much capacity, is the DisruptionBudget, which operators set. Orders wait
// in a Queue by priority and then in the order of arrival; one that does not fit into the budget is
// overtaken, but not for longer than DisruptionBudget.OvertakingPeriodMS.
//
// A Plan is the schedule of all waiting orders ahead of time, for operators. Nothing depends on it.
//
// All times are Unix milliseconds or durations in milliseconds, unless a type says otherwise.
package maintenance
