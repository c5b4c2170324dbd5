// Package store is one node of the replicated store that holds the service's configuration
// and administrative state. Nodes replicate a log by Raft; a SQL database may mirror the keys
// as a record. No request of a caller of the service waits for the store.
//
// The HTTP surface is internal/cluster/storeadmin, its client internal/cluster/storeclient.
//
// # Lifecycle
//
// A node goes from incarnation to incarnation (incarnation.go). An incarnation opens the
// storage folder, asks the peers what they have observed of its disk (verdict.go), runs Raft
// (raft.go) and ends for one of the reasons in errors.go. A wiped, damaged or outdated disk gets a new
// identity, and so joins as another member: votes and acknowledgments of the old identity do not count
// for the new one.
//
// # Goroutines
//
//   - run drives the incarnations. It alone opens, closes and renews the storage.
//   - maintainClusterID, manageMembers and manageLeases run beside each incarnation and end
//     before the next one begins. manageMembers and manageLeases act only on the leader.
//   - peers has one polling goroutine for each known node, for as long as the Store is open.
//   - peerTransport accepts connections and has one goroutine for each handshake.
//   - Raft calls replicatedState.Apply, Snapshot and Restore from its own goroutine.
//   - readIndexBatcher runs a goroutine while a caller waits for a read index.
//
// # Ownership
//
// Raft's goroutine is the only writer of replicatedState; everybody else reads it under its lock.
// The pointers current, waitReason and disk of Store are written by the goroutine of run alone.
// Locks are taken in the order leaseService, replicatedState; a leaderView's lock goes before
// those of peers and replicatedState.
//
// # Invariants
//
//   - A read that is not Local returns only after a majority of the voters has answered this
//     term's leader, to a message sent after the read came (ReadIndex, WaitFresh).
//   - A peer's commit index never goes beyond the entries that it was shown (ackTransport).
//   - A member's ID holds the identity of its disk; a disk whose watermark is behind what a peer
//     has observed never votes.
//
// # Errors
//
// The sentinel errors in errors.go, and those of kv and lease that a request may come to, are
// found by errors.Is. Any other error of a write leaves open whether the write takes effect.
package store
