// Package kv implements the replicated state machine of the store: keys with revisions,
// transactions, leases, and client sessions, which make a retried write take effect only once. The
// package does no I/O and reads no clock: the same log entries in the same order produce the same
// state on every node.
//
// The revision of a key is the index of the log entry that wrote it.
//
// Sessions expire by log time, so that all nodes expire them at the same log entry. The leader puts a
// timestamp on each request. State advances its log time to that timestamp, by at most one minute per
// request and never backwards. This limit alone does not protect sessions from a leader whose clock is
// far ahead: about ten of its requests would expire all idle sessions. The leader therefore does not
// use its wall clock. It derives each timestamp from the log time plus the time that has passed while
// it is the leader (the log clock of package store).
package kv
