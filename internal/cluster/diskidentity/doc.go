// Package diskidentity decides what a node of the replicated store may do with the disk that it
// finds when it starts. What the node and its peers know goes in, a Verdict comes out. The package
// does no I/O, reads no clock and has no goroutine.
//
// A member's ID is a name and the identity of a disk, such as "n1@5f0c…". The identity is made with
// the storage folder and is part of the cluster's configuration. A new folder therefore is a new
// member, and what the old disk promised (votes, acknowledged entries) is never counted for it. A
// folder that went back in time, as by a restored file system, still has its identity; it is found
// out by the Watermark that peers have observed of it.
package diskidentity
