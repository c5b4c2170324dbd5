package diskidentity

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Attestation is a node's report of its own disk, and of the watermark that it has observed of the
// requesting node's disk.
type Attestation struct {
	ID               string     `json:"id"`
	Cluster          string     `json:"cluster,omitempty"`
	PreviousClusters []string   `json:"was,omitempty"`     // IDs of the clusters from which this cluster was recovered
	Fresh            bool       `json:"fresh"`             // the folder is empty and did not replace another one
	ConfigIndex      uint64     `json:"config"`            // log index of the latest configuration in its log
	Members          []string   `json:"members,omitempty"` // member IDs in that configuration
	Voters           []string   `json:"voters,omitempty"`  // voters in that configuration
	LastObserved     *Watermark `json:"seen,omitempty"`    // watermark observed of the requesting node's disk; nil if none
}

// LocalDisk is the state of a node's own disk when the node starts.
type LocalDisk struct {
	ID             string
	Cluster        string // confirmed cluster ID, "" if unknown
	LoggedCluster  string // cluster ID in the log, possibly uncommitted; set while Cluster is ""
	Fresh          bool   // the folder is empty and did not replace another one
	Empty          bool   // the log is empty
	Watermark      Watermark
	ConfigIndex    uint64   // log index of the latest configuration in the log
	Members        []string // member IDs in that configuration
	Voters         []string // voters in that configuration
	InitialMembers []string // names of the nodes that create the cluster; nil on any other node
	// RequiredAttesters is how many other voters must attest this disk: 0 means as many as form a majority
	// together with it, -1 means all. Replaced voters reduce it, see attestersNeeded.
	RequiredAttesters int
}

// Verdict is what a node may do with its disk.
//
// VerdictBootstrap prints as "found", in the sense of founding a cluster.
//
// After VerdictWait, the node decides again when it receives the next attestation. After VerdictNewIdentity,
// the disk belongs to a new member, which joins the cluster. The other verdicts are final for one run of Raft.
type Verdict int

// The verdicts. Their numeric values are not stored.
const (
	VerdictWait        Verdict = iota // wait for attestations
	VerdictBootstrap                  // create the cluster with all initial members
	VerdictJoin                       // replicate the log without a vote, and request membership
	VerdictResume                     // continue as the same member
	VerdictNewIdentity                // give the disk a new identity, and then join
)

func (v Verdict) String() string {
	return [...]string{"wait", "found", "join", "resume", "renew"}[v]
}

// Decide returns what a node may do with its disk, and the reason. attestations has the peers' attestations
// by node name; a peer that is not in the map has not answered. The rules are evaluated in this order:
//
//  1. The cluster was recovered as another one: VerdictWait, until an operator moves the folder away.
//  2. The log is empty: see decideEmptyLog.
//  3. A peer has a later configuration without this disk, or has observed a later state of this disk:
//     VerdictNewIdentity.
//  4. The disk has no vote: VerdictJoin.
//  5. Too few other voters attest the disk: VerdictWait. See attesterTally.
//  6. Otherwise: VerdictResume.
func Decide(local LocalDisk, attestations map[string]Attestation) (Verdict, Reason) {
	if successor := SuccessorCluster(cmp.Or(local.Cluster, local.LoggedCluster), attestations); successor != "" {
		return VerdictWait, Reason{Text: fmt.Sprintf("this folder to be moved away: its cluster was recovered as %s", successor)}
	}
	if local.Empty {
		verdict, text := decideEmptyLog(local, attestations)
		return verdict, Reason{Text: text}
	}
	if removed := local.adoptConfiguration(attestations); removed != "" {
		return VerdictNewIdentity, Reason{Text: removed}
	}
	if reason := local.behindReason(attestations); reason != "" {
		return VerdictNewIdentity, Reason{Text: reason}
	}
	if !slices.Contains(local.Voters, local.ID) {
		return VerdictJoin, Reason{Text: "it has no vote"}
	}
	tally := local.countAttesters(attestations)
	if need := local.attestersNeeded(tally); len(tally.attested) < need {
		return VerdictWait, tally.waitReason(need)
	}
	return VerdictResume, tally.resumeReason()
}

// SuccessorCluster returns the ID of a cluster that was recovered from the given cluster, or "". Nodes of the
// old cluster must not serve once there is a successor.
func SuccessorCluster(cluster string, attestations map[string]Attestation) string {
	for _, a := range attestations {
		if cluster != "" && a.Cluster != cluster && slices.Contains(a.PreviousClusters, cluster) {
			return a.Cluster
		}
	}
	return ""
}

// isFromOtherCluster reports whether an attestation is known to come from another cluster.
func (d *LocalDisk) isFromOtherCluster(a Attestation) bool {
	return d.Cluster != "" && a.Cluster != "" && d.Cluster != a.Cluster
}

// adoptConfiguration sets d's configuration to the latest one that a peer reports, if that is later than d's. d is
// the caller's copy. It returns a reason if the latest configuration does not contain this disk, that is, if the
// disk was removed. If several configurations have the latest index, one without this disk decides. They differ
// only if one leader's change was overwritten by another leader's.
func (d *LocalDisk) adoptConfiguration(attestations map[string]Attestation) (removed string) {
	latest := d.latestConfigurations(attestations)
	if len(latest) == 0 {
		return ""
	}
	for _, a := range latest {
		if !slices.Contains(a.Members, d.ID) {
			return fmt.Sprintf("%s knows of a configuration without this disk", a.ID)
		}
	}
	d.ConfigIndex = latest[0].ConfigIndex
	d.Members = latest[0].Members
	d.Voters = latest[0].Voters
	return ""
}

// latestConfigurations returns the attestations with the latest configuration, sorted by node name. It returns
// none if d's configuration is at least as late.
func (d *LocalDisk) latestConfigurations(attestations map[string]Attestation) (latest []Attestation) {
	index := d.ConfigIndex
	for _, name := range slices.Sorted(maps.Keys(attestations)) {
		a := attestations[name]
		if a.ConfigIndex < index || a.ConfigIndex == d.ConfigIndex || d.isFromOtherCluster(a) {
			continue
		}
		if a.ConfigIndex > index {
			latest = nil
		}
		index = a.ConfigIndex
		latest = append(latest, a)
	}
	return latest
}

// behindReason returns a reason if any peer, voter or not, has observed a later state of this disk, or "".
func (d *LocalDisk) behindReason(attestations map[string]Attestation) string {
	for _, a := range attestations {
		if a.LastObserved != nil && !d.isFromOtherCluster(a) && d.Watermark.Behind(*a.LastObserved) {
			return fmt.Sprintf("%s has seen this disk at %+v, it is at %+v", a.ID, *a.LastObserved, d.Watermark)
		}
	}
	return ""
}

// decideEmptyLog decides for a disk with an empty log. Only the initial member with the lowest name creates the
// cluster, and only when all initial members attest that their disks are fresh: an initial member that does not
// answer may have entries that a cluster has acknowledged.
func decideEmptyLog(local LocalDisk, attestations map[string]Attestation) (Verdict, string) {
	if !local.Fresh {
		return VerdictJoin, "the folder took the place of one that can't be trusted"
	}
	if member := findClusterMember(attestations); member != "" {
		return VerdictJoin, fmt.Sprintf("%s is of a cluster", member)
	}
	name := MemberName(local.ID)
	if !slices.Contains(local.InitialMembers, name) {
		return VerdictJoin, "the configuration names others as those who make the cluster"
	}
	if replacement := findReplacementFolder(local, attestations); replacement != "" {
		return VerdictWait, fmt.Sprintf("a node of the cluster, or a founder that says that there is none: "+
			"the folder of %s took the place of one that can't be trusted; if there never was a cluster, remove it and start that node again", replacement)
	}
	if missing := missingInitialMembers(local, attestations); len(missing) > 0 {
		return VerdictWait, fmt.Sprintf("%s must say whether there is a cluster yet", strings.Join(missing, ", "))
	}
	if first := slices.Min(local.InitialMembers); first != name {
		return VerdictJoin, fmt.Sprintf("%s makes the cluster", first)
	}
	return VerdictBootstrap, "all founders are new"
}

// findClusterMember returns the ID of a node whose log belongs to a cluster, or "".
func findClusterMember(attestations map[string]Attestation) string {
	for _, name := range slices.Sorted(maps.Keys(attestations)) {
		if a := attestations[name]; !a.Fresh && (a.Cluster != "" || a.ConfigIndex > 0) {
			return a.ID
		}
	}
	return ""
}

// findReplacementFolder returns the ID of an initial member whose empty folder replaced another one, or "". The replaced
// folder may have had entries that a cluster has acknowledged.
func findReplacementFolder(local LocalDisk, attestations map[string]Attestation) string {
	for _, initialMember := range local.InitialMembers {
		if a, answered := attestations[initialMember]; answered && !a.Fresh {
			return a.ID
		}
	}
	return ""
}

func missingInitialMembers(local LocalDisk, attestations map[string]Attestation) (missing []string) {
	for _, initialMember := range local.InitialMembers {
		if _, ok := attestations[initialMember]; !ok && initialMember != MemberName(local.ID) {
			missing = append(missing, initialMember)
		}
	}
	slices.Sort(missing)
	return missing
}
