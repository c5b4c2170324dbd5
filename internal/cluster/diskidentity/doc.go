// Package diskidentity decides what a node of the replicated store may do with its disk when the
// node starts. Decide maps the state of the disk and the attestations of the node's peers to a Verdict.
// The package does no I/O, reads no clock and has no goroutine.
//
// A member's ID consists of the node's name and its disk identity, such as "n1@5f0c…". The disk
// identity is created with the storage folder and is part of the cluster's configuration. A new folder
// is therefore a new member: it does not inherit the votes and acknowledged entries of the old disk. A
// folder that is rolled back, such as by a restored file system, keeps its identity. It is detected by
// the Watermark that peers have observed of the disk.
package diskidentity
