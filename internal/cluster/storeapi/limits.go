package storeapi

import (
	"time"

	"oxbowbridge/internal/cluster/kv"
)

// Header fields of requests and answers.
const (
	HeaderCluster       = "Cluster"        // id of the cluster that a request is meant for, or that answers
	HeaderSession       = "Session"        // of a write
	HeaderRequestNumber = "Request-Number" // of a write in its session
	HeaderLease         = "Lease"          // NAME/TOKEN: the write is done only while that lease is held under that token
	HeaderStoreRevision = "Store-Revision" // the revision of the store that an answer shows
	HeaderLastEventID   = "Last-Event-ID"  // the revision after which a watch continues
)

// Limits that server and client share.
const (
	WatchProgressInterval = 2 * time.Second                  // between two events or comments of a watch stream
	MaxEventBytes         = 2 * kv.MaxOps * kv.MaxValueBytes // of one event of a watch
	RestoreTimeout        = time.Minute
	CommitTimeout         = 3 * time.Second  // for which a leader waits for a majority
	MaxLeaseWait          = 30 * time.Second // for which one request may wait for a lease
	MaxRenewals           = 4096             // leases that one request renews
)
