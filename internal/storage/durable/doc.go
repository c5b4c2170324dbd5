// Package durable is an embedded, ordered key-value store over an append-only
// log, for state that must outlive the process.
//
// A write is a [Batch]: it is atomic and has its own sequence number. When Apply
// returns nil, the batch is on disk ([Synced]), or is written and will be synced soon
// ([Buffered]). Readers don't see a batch earlier.
// The index is a persistent (copy-on-write) B-tree in memory, so snapshots, scans
// and checkpoints never block writers. Values longer than Options.MaxInlineBytes are
// not cached in memory.
//
// # Files
//
// A store is one folder: numbered log segments, the two newest checkpoints of the
// index, a manifest that names the files in use, a reserve file and a lock
// file. docs/design/durable-store.md specifies the byte layouts.
//
// # Goroutines and ownership
//
// The committer goroutine alone appends to the log: it dequeues requests, writes
// them as a group with one sync, applies them to the index and reports their
// results. The maintainer carries out the steps that internal/storage/durable/plan
// decides: flush, seal, checkpoint, compaction, removal of empty segments. A function
// that needs a log without writes in progress runs in the committer between two
// groups (runInCommitter). Store.mu guards the index and the sequence numbers;
// Store.manifestMu guards the manifest. A Store is safe for concurrent use.
//
// # Invariants
//
//   - A batch becomes visible only once it has the durability that its Level
//     promises, and batches become visible in the order of their sequence numbers.
//   - Batches change the index only through index.apply, both when they are written
//     and in recovery, so replaying the log gives the same index.
//   - A segment is removed only when no index entry, no retained checkpoint and no
//     open snapshot refers to it.
//   - The manifest names a segment before the segment holds a batch, so recovery
//     detects a missing segment.
//
// # Crash safety
//
// A new file is written and synced before a new manifest, which replaces the old one
// by rename, names it. If a write fails because the disk is full, its bytes are
// truncated from the log. After any other failed write or sync the store is read-only,
// because the content on disk is unknown. Recovery loads the newest readable
// checkpoint and replays the log after it. It truncates a torn tail only if no later
// batch proves that the tail was synced. Any other inconsistency is damage: the folder
// is not opened, and the operator decides whether to run Repair.
//
// # Errors
//
// Errors match the sentinels of this package with errors.Is. If a folder is not
// opened because of damage, the error is a [*DamagedError] with the report.
//
// # Time
//
// The caller passes expiry times and the time of an expiry check; only the
// maintenance loop reads a clock. All file access goes through
// internal/storage/durable/vfs.
package durable
