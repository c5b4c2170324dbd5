// Package store implements one node of the replicated store that holds the service's configuration and
// administrative state. Nodes replicate a log by Raft. A SQL database may mirror the keys. No request of a
// caller of the service waits for the store.
//
// Package storeadmin (internal/cluster/storeadmin) implements the HTTP admin API, and package storeclient
// its client.
//
// # Lifecycle
//
// A node runs a sequence of incarnations (incarnation.go). An incarnation opens the storage folder,
// collects the peers' attestations of its disk (verdict.go), runs Raft (raft.go) and ends for one of the
// reasons in errors.go. A wiped, damaged or outdated disk gets a new identity and rejoins as another
// member: votes and acknowledgments of the old identity do not count for the new one.
//
// # Goroutines
//
//   - runIncarnations runs the incarnations. No other goroutine opens, closes or renews the storage.
//   - maintainClusterID, manageMembers and manageLeases run during each incarnation and end before the
//     next one starts. manageMembers and manageLeases act only on the leader.
//   - peerPoller has one polling goroutine for each known node until the Store is closed.
//   - peerTransport accepts connections and has one goroutine for each handshake.
//   - Raft calls replicatedState.Apply, Snapshot and Restore from its own goroutine.
//   - readIndexBatcher runs a goroutine while a caller waits for a read index.
//
// # Ownership
//
// Raft's goroutine is the only writer of replicatedState; all others read it under its lock. Only the
// goroutine of runIncarnations writes the pointers current, waitReason and currentDisk of Store. Lock order:
// leaseService before replicatedState, and leaderView before peerPoller and replicatedState.
//
// # Invariants
//
//   - A read that is not Local returns only after a majority of the voters has responded to this term's
//     leader, to a message sent after the read started (ReadIndex, WaitFresh).
//   - A peer's commit index never exceeds the last entry that its leader compared or sent (ackTransport).
//   - A member's ID includes the identity of its disk. A disk whose watermark is below one that a peer has
//     observed never votes.
//
// # Earlier formats
//
// Each of the following can be removed once no node and no folder of such a version remains:
//
//   - Members identified by a name alone, without a disk: decodePeer, readDiskState, migrateLegacyMembers,
//     peerTransport.identify, diskidentity.MemberDisk.
//   - Nodes without GET /self: peerPoller.fetch, peerReport.legacy.
//   - Nodes without leases: Store.enableLeases, ErrLeasesUnavailable.
//   - Log entries that are lists of commands: command, requestFromCommands. Store.Set still writes them.
//   - Snapshots that are a bare map of entries, or have no checksum: decodeSnapshot.
//   - Folders with a bbolt log: raftstorage.ErrLegacyFormat.
//
// # Errors
//
// Callers match the sentinel errors in errors.go, and those of kv and lease that a request may return, by
// errors.Is. After any other error of a write, it is unknown whether the write takes effect.
package store
