// Package raftstorage keeps the persistent data of a Raft node in one durable store: the log, the
// stable values (current term and vote), the snapshots, and local values of the node.
//
// Storage implements raft.LogStore, raft.StableStore and raft.SnapshotStore. All its methods are safe
// for concurrent use. FailStopStorage wraps a Storage for use by Raft.
//
// Invariants:
//   - The log has no gaps.
//   - When a method that writes a value returns without an error, the value is synced to disk, unless
//     the name of the method says otherwise.
//   - A snapshot exists if and only if its meta key exists. The meta key is written last, in one batch
//     with the deletion of older snapshots.
//
// Errors: ErrLegacyFormat; durable.ErrDamaged if acknowledged data is missing from the folder; and
// raft.ErrLogNotFound.
package raftstorage
