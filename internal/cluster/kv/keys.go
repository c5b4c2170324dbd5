package kv

import "strings"

// Reserved keys and key prefixes. Logs, snapshots and backups contain these strings, so they must not
// change.
const (
	ReservedPrefix       = "_cluster/"                 // the store's own records; clients must not write here
	ClusterIDKey         = ReservedPrefix + "id"       // the cluster's id, which never changes
	RestoreMarkerKey     = ReservedPrefix + "restore"  // exists during a restore and identifies the backup
	PreviousClustersKey  = ReservedPrefix + "was"      // ids of the clusters that this cluster was recovered from
	RemovedMemberPrefix  = ReservedPrefix + "removed/" // followed by the name of a node that an operator removed
	PreferredVoterPrefix = ReservedPrefix + "prefer/"  // followed by the name of a node that operators prefer as a voter
	LeasesEnabledKey     = ReservedPrefix + "leases"   // exists once all members support leases
	ServiceStatePrefix   = "state/"                    // status reports of services; a restore skips them
)

// IsUserKey reports whether a key belongs to users, that is, neither to the store itself
// (ReservedPrefix) nor to the status reports of services (ServiceStatePrefix).
func IsUserKey(key string) bool {
	return !strings.HasPrefix(key, ReservedPrefix) && !strings.HasPrefix(key, ServiceStatePrefix)
}
