// Package raftstorage stores what a Raft node must not forget in one durable store: the log, the
// stable keys (term and vote), the snapshots, and values of the node itself.
//
// Storage implements raft.LogStore, raft.StableStore and raft.SnapshotStore; all its methods may be
// called from any goroutine. FailStopStorage is a Storage as Raft is given it.
//
// Invariants: the log has no gap; a value that a method reports as written is on disk, unless the
// method's name says otherwise; a snapshot exists once its meta key does, which is written last, in
// one batch with the removal of older snapshots.
//
// Errors: ErrLegacyFormat, durable.ErrDamaged for a folder that misses what was acknowledged, and
// raft.ErrLogNotFound.
package raftstorage
