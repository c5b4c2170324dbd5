package diskidentity

import (
	"fmt"
	"slices"
	"strings"
)

// attesterTally classifies the other voters in a disk's configuration by whether they can attest the disk.
//
// A voter is replaced if its node answers with a different disk: the voter's disk was wiped, or got a new identity.
// No node can attest in its place, so it reduces the number of attesters needed. A voter that does not answer may
// still have its disk, and is missing.
//
// Watermarks that only a replaced disk had observed are lost. If one voter's disk is replaced while another voter's
// folder is rolled back, the rollback may therefore go undetected. docs/design/membership.md lists how many
// replaced and rolled back disks are tolerated.
type attesterTally struct {
	attested []string        // member IDs
	missing  []string        // member IDs
	replaced []ReplacedVoter // sorted by voter ID
}

// countAttesters classifies the other voters. The caller has checked with behindReason that no peer has observed a
// later state of this disk.
func (d *LocalDisk) countAttesters(attestations map[string]Attestation) (tally attesterTally) {
	cluster := d.presumedCluster(attestations)
	for _, id := range slices.Sorted(slices.Values(d.Voters)) {
		a, answered := attestations[MemberName(id)]
		switch {
		case id == d.ID:
		case MemberName(id) == MemberName(d.ID): // an earlier disk of this node
			tally.replaced = append(tally.replaced, ReplacedVoter{Voter: id, Successor: d.ID})
		case !answered || d.isFromOtherCluster(a):
			tally.missing = append(tally.missing, id)
		case a.ID == id:
			tally.attested = append(tally.attested, id)
		case a.showsReplacementOf(id, cluster):
			tally.replaced = append(tally.replaced, ReplacedVoter{Voter: id, Successor: a.ID})
		default:
			tally.missing = append(tally.missing, id)
		}
	}
	return tally
}

// presumedCluster returns the ID of the disk's cluster. If d.Cluster is unknown, it is the cluster of a member that
// answers with the disk named in the configuration, or else d.LoggedCluster.
func (d *LocalDisk) presumedCluster(attestations map[string]Attestation) string {
	if d.Cluster != "" {
		return d.Cluster
	}
	for _, id := range d.Members {
		if a, answered := attestations[MemberName(id)]; answered && a.ID == id && a.Cluster != "" && MemberDisk(id) != "" {
			return a.Cluster
		}
	}
	return d.LoggedCluster
}

// showsReplacementOf reports whether an attestation proves that a member's node has another disk, which belongs to
// this cluster or to none. An attestation by a node with another name proves nothing: it
// means only that another node answers at the member's address.
func (a *Attestation) showsReplacementOf(id, cluster string) bool {
	sameNode := MemberName(a.ID) == MemberName(id) && MemberDisk(a.ID) != ""
	return sameNode && (a.Cluster == "" || a.Cluster == cluster)
}

// attestersNeeded returns how many other voters must attest the disk. Replaced voters reduce the number set by
// LocalDisk.RequiredAttesters, but never below the number that forms a majority together with this disk.
func (d *LocalDisk) attestersNeeded(tally attesterTally) int {
	others := len(d.Voters) - 1
	majority := len(d.Voters) / 2
	required := d.RequiredAttesters
	switch {
	case required == 0:
		return majority
	case required < 0:
		required = others
	}
	return min(required, max(majority, others-len(tally.replaced)))
}

// waitReason returns the reason for VerdictWait if the disk needs the attestations of need other voters. The reason
// names the voters whose attestations are missing, and what operators can do.
func (t *attesterTally) waitReason(need int) Reason {
	stillNeeded := need - len(t.attested)
	if stillNeeded > len(t.missing) {
		return Reason{
			Text:     "a majority of the voters must have their disks: start them with the folders of those disks, or recover a lost majority",
			Replaced: t.replaced,
		}
	}
	candidates := slices.Clone(t.missing)
	for _, r := range t.replaced {
		candidates = append(candidates, r.Voter)
	}
	slices.Sort(candidates)
	return Reason{
		Text:     fmt.Sprintf("%d of %s must say that this disk is not older than what it acknowledged", stillNeeded, strings.Join(candidates, ", ")),
		Replaced: t.replaced,
	}
}

func (t *attesterTally) resumeReason() Reason {
	return Reason{Text: fmt.Sprintf("%d others have seen no more of this disk", len(t.attested)), Replaced: t.replaced}
}
