package storeapi

import (
	"time"

	"oxbowbridge/internal/cluster/kv"
)

// Header fields of requests and responses.
const (
	HeaderCluster       = "Cluster"        // id of the cluster that the request is for, or that responds
	HeaderSession       = "Session"        // session of a write request
	HeaderRequestNumber = "Request-Number" // number of a write request in its session
	HeaderLease         = "Lease"          // NAME/TOKEN: apply the write only if the lease is held under the token
	HeaderStoreRevision = "Store-Revision" // revision of the store that the response reflects
	HeaderLastEventID   = "Last-Event-ID"  // revision after which a watch continues
)

// Limits that apply to both server and client.
const (
	WatchProgressInterval = 2 * time.Second                  // max. time between two events or comments of a watch stream
	MaxEventBytes         = 2 * kv.MaxOps * kv.MaxValueBytes // max. size of one event of a watch stream
	RestoreTimeout        = time.Minute
	CommitTimeout         = 3 * time.Second  // how long a leader waits for a majority to commit a write
	MaxLeaseWait          = 30 * time.Second // max. time that a request may wait for a lease
	MaxRenewals           = 4096             // max. leases that one request may renew
)
