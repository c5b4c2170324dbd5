// Package durable is an embedded ordered key-value store over an append-only log,
// for what must outlive the process.
//
// A write is a Batch. It takes effect whole or not at all, has a sequence number of
// its own, and when Apply returns without error it is on disk (Synced) or will be
// soon (Buffered). Readers see a batch only after that. The index is held in memory
// as a persistent tree, so snapshots, scans and checkpoints never stop writers;
// values above a small size stay on disk.
//
// Time is given in by the caller wherever an expiry counts; nothing here reads a
// clock but the loop that paces upkeep. What upkeep does next is decided in
// internal/storage/durable/plan, and all files are reached through internal/storage/durable/vfs.
//
// docs/design/durable-store.md has the format on disk, what is promised, and what
// is not.
package durable
