// Package durable is an embedded, ordered key-value store over an append-only
// log, for state that must survive the process.
//
// A write is a [Batch]: it takes effect completely or not at all and has its own
// sequence number. When Apply returns without error the batch is on disk
// ([Synced]) or will be soon ([Buffered]). Readers see a batch only after that.
// The index is a persistent (copy-on-write) B-tree in memory, so snapshots, scans
// and checkpoints never stop writers; values above Options.MaxInlineBytes stay on
// disk.
//
// # Files
//
// A store is one folder: numbered log segments, the two newest checkpoints of the
// index, a manifest that names those in use, a reserve file and a lock
// file. docs/design/durable-store.md has the byte layouts.
//
// # Goroutines and ownership
//
// The committer alone owns the tail of the log: it takes queued requests, writes
// them as a group with one sync, applies them to the index and answers them. The
// maintainer carries out the steps that internal/storage/durable/plan decides:
// flush, seal, checkpoint, compaction, removal of empty segments. What must see
// the log at rest runs in the committer between two groups (runInCommitter).
// Store.mu guards the index and the sequence numbers; Store.manifestMu guards the
// manifest; callers may use a Store from any goroutine.
//
// # Invariants
//
//   - A batch is visible only once its level holds, and batches become visible in
//     the order of their sequence numbers.
//   - The index changes only through index.apply, in service and in recovery, so
//     replaying the log gives the same index.
//   - A segment is removed only when no index entry, no retained checkpoint and no
//     open snapshot refers to it.
//   - The manifest names a segment before the segment holds a batch, so a lost
//     segment is noticed.
//
// # Crash safety
//
// Files are written, synced and then named by a manifest that is replaced by
// rename. A write that failed for want of space is truncated away; after any
// other failed write or sync the store is read-only, because it is unknown what
// is on disk. Recovery loads the newest readable checkpoint and replays the log
// after it; it truncates a torn tail only where no later batch attests that the
// tail was synced. All else counts as damage: the folder is not opened, and
// Repair is the operator's choice.
//
// # Errors
//
// Errors match the sentinels of this package with errors.Is. A folder that was
// not opened gives a [*DamagedError] with the report.
//
// # Time
//
// Expiry times and the time of an expiry check come from the caller; only the
// loop that paces maintenance reads a clock. All files are reached through
// internal/storage/durable/vfs.
package durable
