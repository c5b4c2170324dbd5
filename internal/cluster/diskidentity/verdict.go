package diskidentity

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Attestation is what a node reports of its disk, and of the disk of the node that asks.
type Attestation struct {
	ID               string     `json:"id"`
	Cluster          string     `json:"cluster,omitempty"`
	PreviousClusters []string   `json:"was,omitempty"`     // that this cluster was recovered from
	Fresh            bool       `json:"fresh"`             // an empty folder that never replaced another
	ConfigIndex      uint64     `json:"config"`            // of the latest configuration in its log
	Members          []string   `json:"members,omitempty"` // in that configuration
	Voters           []string   `json:"voters,omitempty"`  // of them
	LastObserved     *Watermark `json:"seen,omitempty"`    // of the asker's disk; nil if it never was
}

// LocalDisk is what a node knows of its disk when it starts.
type LocalDisk struct {
	ID             string
	Cluster        string // "" if it is not known for sure
	LoggedCluster  string // the cluster in the log while Cluster is ""; it may not be committed
	Fresh          bool   // an empty folder that never replaced another
	Empty          bool   // nothing in the log
	Watermark      Watermark
	ConfigIndex    uint64   // of the latest configuration in the log
	Members        []string // in that configuration
	Voters         []string // of them
	InitialMembers []string // names of those who make the cluster; nil on a node that is none of them
	// RequiredAttesters is how many other voters must attest this disk: 0 is as many as make a majority
	// with it, -1 is all of them. Replaced voters lower it, see attestersNeeded.
	RequiredAttesters int
}

// Verdict is what a node may do with its disk.
//
// VerdictBootstrap prints as "found", in the sense of to found a cluster.
//
// VerdictWait is decided again at the next attestation. After VerdictNewIdentity the disk is another
// member's, and joins. The other verdicts are final for one run of Raft.
type Verdict int

// The verdicts, in the order of their numbers, which are not stored.
const (
	VerdictWait        Verdict = iota // for attestations
	VerdictBootstrap                  // make a cluster of all founders
	VerdictJoin                       // replicate the log without a vote, and request to be a member
	VerdictResume                     // go on as the member that it was
	VerdictNewIdentity                // give the disk a new identity, and then join
)

func (v Verdict) String() string {
	return [...]string{"wait", "found", "join", "resume", "renew"}[v]
}

// Decide is what a node may do, and the reason. attestations are by name; a node that is not among
// them has not answered. The rules are checked in this order:
//
//  1. The cluster was recovered as another one: wait, until an operator moves the folder away.
//  2. The log is empty: see decideEmpty.
//  3. A peer has a later configuration without this disk, or has observed more of this disk than it
//     holds: renew.
//  4. The disk has no vote: join.
//  5. Too few other voters attest the disk: wait. See attesterTally.
//  6. Otherwise: resume.
func Decide(local LocalDisk, attestations map[string]Attestation) (Verdict, Reason) {
	if successor := SuccessorCluster(cmp.Or(local.Cluster, local.LoggedCluster), attestations); successor != "" {
		return VerdictWait, Reason{Text: fmt.Sprintf("this folder to be moved away: its cluster was recovered as %s", successor)}
	}
	if local.Empty {
		verdict, text := decideEmpty(local, attestations)
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

// SuccessorCluster is the ID of the cluster that was recovered from one, or "". Nodes of the old cluster
// must not act as if it still existed.
func SuccessorCluster(cluster string, attestations map[string]Attestation) string {
	for _, a := range attestations {
		if cluster != "" && a.Cluster != cluster && slices.Contains(a.PreviousClusters, cluster) {
			return a.Cluster
		}
	}
	return ""
}

// foreign reports whether an attestation is known to be of another cluster.
func (d *LocalDisk) foreign(a Attestation) bool {
	return d.Cluster != "" && a.Cluster != "" && d.Cluster != a.Cluster
}

// adoptConfiguration sets d's configuration, which is the caller's copy, to the latest one that a peer
// reports, if that is later than d's. It returns a reason if that one lacks this disk: the disk was removed.
// Of several with the same index, which differ only if a leader's change was overwritten by another's, one that
// lacks this disk counts.
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

// latestConfigurations are the attestations with the latest configuration, by name; none if d's is as late.
func (d *LocalDisk) latestConfigurations(attestations map[string]Attestation) (latest []Attestation) {
	index := d.ConfigIndex
	for _, name := range slices.Sorted(maps.Keys(attestations)) {
		a := attestations[name]
		if a.ConfigIndex < index || a.ConfigIndex == d.ConfigIndex || d.foreign(a) {
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

// behindReason is "" unless some peer, voter or not, has observed more of this disk than it holds.
func (d *LocalDisk) behindReason(attestations map[string]Attestation) string {
	for _, a := range attestations {
		if a.LastObserved != nil && !d.foreign(a) && d.Watermark.Behind(*a.LastObserved) {
			return fmt.Sprintf("%s has seen this disk at %+v, it is at %+v", a.ID, *a.LastObserved, d.Watermark)
		}
	}
	return ""
}

// decideEmpty decides for an empty log. A cluster is made by the first of the founders by name
// alone, and only once each founder attests that it is new: one that does not answer may hold what a
// cluster has acknowledged.
func decideEmpty(local LocalDisk, attestations map[string]Attestation) (Verdict, string) {
	if !local.Fresh {
		return VerdictJoin, "the folder took the place of one that can't be trusted"
	}
	if member := clusterMember(attestations); member != "" {
		return VerdictJoin, fmt.Sprintf("%s is of a cluster", member)
	}
	name := MemberName(local.ID)
	if !slices.Contains(local.InitialMembers, name) {
		return VerdictJoin, "the configuration names others as those who make the cluster"
	}
	if replacement := replacementFolder(local, attestations); replacement != "" {
		return VerdictWait, fmt.Sprintf("a node of the cluster, or a founder that says that there is none: "+
			"the folder of %s took the place of one that can't be trusted; if there never was a cluster, remove it and start that node again", replacement)
	}
	if missing := missingFounders(local, attestations); len(missing) > 0 {
		return VerdictWait, fmt.Sprintf("%s must say whether there is a cluster yet", strings.Join(missing, ", "))
	}
	if first := slices.Min(local.InitialMembers); first != name {
		return VerdictJoin, fmt.Sprintf("%s makes the cluster", first)
	}
	return VerdictBootstrap, "all founders are new"
}

// clusterMember is a node whose log is a cluster's, or "".
func clusterMember(attestations map[string]Attestation) string {
	for _, name := range slices.Sorted(maps.Keys(attestations)) {
		if a := attestations[name]; !a.Fresh && (a.Cluster != "" || a.ConfigIndex > 0) {
			return a.ID
		}
	}
	return ""
}

// replacementFolder is a founder whose empty folder took the place of another one, or "". It does not know whether
// that one held what a cluster has acknowledged.
func replacementFolder(local LocalDisk, attestations map[string]Attestation) string {
	for _, founder := range local.InitialMembers {
		if a, answered := attestations[founder]; answered && !a.Fresh {
			return a.ID
		}
	}
	return ""
}

func missingFounders(local LocalDisk, attestations map[string]Attestation) (missing []string) {
	for _, founder := range local.InitialMembers {
		if _, ok := attestations[founder]; !ok && founder != MemberName(local.ID) {
			missing = append(missing, founder)
		}
	}
	slices.Sort(missing)
	return missing
}
