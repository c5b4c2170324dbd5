package diskidentity

import (
	"fmt"
	"slices"
	"strings"
)

// attesterTally sorts the other voters of a disk's configuration by what they can say of the disk.
//
// A voter is replaced if the node of its name answers with another disk: its own was wiped, or was given up for
// a new identity. Nobody can attest in its place any more, so that LocalDisk.RequiredAttesters does not count it. One that
// does not answer at all may still have its disk, and is waited for.
//
// What the replaced disk alone had seen is lost with it. If a voter's disk is replaced and another voter's folder was
// brought back older at the same time, the older one may therefore not be noticed: docs/design/membership.md
// says how many of both are survived.
type attesterTally struct {
	attested []string        // member IDs
	missing  []string        // member IDs
	replaced []ReplacedVoter // in the order of their IDs
}

// countAttesters sorts the other voters. What the attested ones say of this disk was checked before.
func (d *LocalDisk) countAttesters(attestations map[string]Attestation) (tally attesterTally) {
	cluster := d.presumedCluster(attestations)
	for _, id := range slices.Sorted(slices.Values(d.Voters)) {
		a, answered := attestations[MemberName(id)]
		switch {
		case id == d.ID:
		case MemberName(id) == MemberName(d.ID): // an earlier disk of this node
			tally.replaced = append(tally.replaced, ReplacedVoter{Voter: id, Successor: d.ID})
		case !answered || d.foreign(a):
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

// presumedCluster is the cluster of a disk, also if its own log does not tell for sure: then it is that of a member
// that answers with the disk that the configuration names, and else what the log says.
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

// showsReplacementOf reports whether an attestation shows that the node of a member has another disk, of this cluster or new.
// One of another node shows nothing: somebody else answers at the member's address.
func (a *Attestation) showsReplacementOf(id, cluster string) bool {
	sameNode := MemberName(a.ID) == MemberName(id) && MemberDisk(a.ID) != ""
	return sameNode && (a.Cluster == "" || a.Cluster == cluster)
}

// attestersNeeded is how many other voters must attest the disk. Replaced voters lower what LocalDisk.RequiredAttesters
// asks for, but never below what makes a majority with this disk.
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

// waitReason says for whom a disk waits that needs a number of attestations, and what operators can do.
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
