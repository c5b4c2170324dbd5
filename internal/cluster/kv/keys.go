package kv

import "strings"

// Keys and prefixes with a meaning of their own. Their texts are stored, so they stay as they are.
const (
	ReservedPrefix       = "_cluster/"                 // what the store records about itself; clients may not write it
	ClusterIDKey         = ReservedPrefix + "id"       // the cluster's id, for its whole life
	RestoreMarkerKey     = ReservedPrefix + "restore"  // exists while a backup is being restored, and says which
	PreviousClustersKey  = ReservedPrefix + "was"      // ids of the clusters that this one was recovered from
	RemovedMemberPrefix  = ReservedPrefix + "removed/" // and a node's name: operators removed it from the members
	PreferredVoterPrefix = ReservedPrefix + "prefer/"  // and a node's name: operators want it to be a voter
	LeasesEnabledKey     = ReservedPrefix + "leases"   // exists once all members support leases
	ServiceStatePrefix   = "state/"                    // what services report of themselves; a restore leaves it out
)

// IsUserKey reports whether a key belongs to users: it is neither the store's own nor a report of
// a service.
func IsUserKey(key string) bool {
	return !strings.HasPrefix(key, ReservedPrefix) && !strings.HasPrefix(key, ServiceStatePrefix)
}
