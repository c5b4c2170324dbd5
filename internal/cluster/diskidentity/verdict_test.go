package diskidentity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

var founders = []string{"a", "b", "c"}

// voterWatermark is that of the disk a@1, and voter that disk: one of three voters.
var voterWatermark = Watermark{Starts: 3, Term: 5, LastTerm: 4, LastIndex: 40}

var voterDisk = LocalDisk{
	ID:             "a@1",
	Cluster:        "x",
	Watermark:      voterWatermark,
	ConfigIndex:    7,
	Members:        []string{"a@1", "b@1", "c@1"},
	Voters:         []string{"a@1", "b@1", "c@1"},
	InitialMembers: founders,
}

func freshDisk(name string) LocalDisk {
	return LocalDisk{ID: MemberID(name, "1"), Fresh: true, Empty: true, InitialMembers: founders}
}

// modifiedVoterDisk is voter with a change.
func modifiedVoterDisk(change func(*LocalDisk)) LocalDisk {
	d := voterDisk
	change(&d)
	return d
}

// allAttestersDisk is voter where all other voters must attest.
var allAttestersDisk = modifiedVoterDisk(func(d *LocalDisk) { d.RequiredAttesters = -1 })

// attestationFrom is what another member says of the disk a@1, with a change that may be nil.
func attestationFrom(id string, change func(*Attestation)) Attestation {
	a := Attestation{ID: id, Cluster: "x", ConfigIndex: 7, Members: voterDisk.Members, Voters: voterDisk.Voters, LastObserved: &voterWatermark}
	if change != nil {
		change(&a)
	}
	return a
}

func freshAttestation(id string) Attestation { return Attestation{ID: id, Fresh: true} }

// withLastObserved changes what was withLastObserved of the disk a@1.
func withLastObserved(m Watermark) func(*Attestation) {
	return func(a *Attestation) { a.LastObserved = &m }
}

func attestationsByName(list ...Attestation) map[string]Attestation {
	m := map[string]Attestation{}
	for _, a := range list {
		m[MemberName(a.ID)] = a
	}
	return m
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name         string
		local        LocalDisk
		attestations map[string]Attestation
		want         Verdict
	}{
		{"all new, the first", freshDisk("a"), attestationsByName(freshAttestation("b@1"), freshAttestation("c@1")), VerdictBootstrap},
		{"all new, another", freshDisk("b"), attestationsByName(freshAttestation("a@1"), freshAttestation("c@1")), VerdictJoin},
		{"one not there", freshDisk("a"), attestationsByName(freshAttestation("b@1")), VerdictWait},
		{"a wiped one, and one that knows a cluster", freshDisk("a"), attestationsByName(freshAttestation("b@1"), attestationFrom("c@1", nil)), VerdictJoin},
		{"a folder in the place of a refused one", LocalDisk{ID: "a@2", Empty: true, InitialMembers: founders}, attestationsByName(freshAttestation("b@1"), freshAttestation("c@1")), VerdictJoin},
		{"a founder's folder was set aside", freshDisk("a"), attestationsByName(Attestation{ID: "b@2"}, freshAttestation("c@1")), VerdictWait},
		{"a founder's folder was set aside, and one knows a cluster", freshDisk("a"), attestationsByName(Attestation{ID: "b@2"}, attestationFrom("c@1", nil)), VerdictJoin},
		{"a founder's folder was set aside, and one has a log without an identity of its cluster", freshDisk("a"), attestationsByName(Attestation{ID: "b@2"}, attestationFrom("c@1", func(a *Attestation) { a.Cluster = "" })), VerdictJoin},
		{"a founder's folder was set aside, for a node that is none", LocalDisk{ID: "d@1", Fresh: true, Empty: true, InitialMembers: founders}, attestationsByName(freshAttestation("a@1"), Attestation{ID: "b@2"}, freshAttestation("c@1")), VerdictJoin},
		{"alone in its file", LocalDisk{ID: "a@1", Fresh: true, Empty: true, InitialMembers: []string{"a"}}, nil, VerdictBootstrap},
		{"no founder", LocalDisk{ID: "d@1", Fresh: true, Empty: true, InitialMembers: founders}, attestationsByName(freshAttestation("a@1"), freshAttestation("b@1"), freshAttestation("c@1")), VerdictJoin},
		{"nobody answers", voterDisk, nil, VerdictWait},
		{"one other has seen it as it is", voterDisk, attestationsByName(attestationFrom("b@1", nil)), VerdictResume},
		{"one other has seen less", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{Starts: 1}))), VerdictResume},
		{"one other has never seen it", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.LastObserved = nil })), VerdictResume},
		{"the other has a new disk", voterDisk, attestationsByName(freshAttestation("b@2")), VerdictWait},
		{"of another cluster", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.Cluster = "y" })), VerdictWait},
		{"all must attest", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil)), VerdictWait},
		{"all do", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@1", nil)), VerdictResume},
		{"all must attest, one has lost its disk", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), freshAttestation("c@2")), VerdictResume},
		{"all must attest, one has given its disk up", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", nil)), VerdictResume},
		{"all must attest, one has lost its disk and another does not answer", allAttestersDisk, attestationsByName(freshAttestation("c@2")), VerdictWait},
		{"all must attest, both others have lost their disks", allAttestersDisk, attestationsByName(freshAttestation("b@2"), freshAttestation("c@2")), VerdictWait},
		{"all must attest, one answers for another cluster", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", func(a *Attestation) { a.Cluster = "y" })), VerdictWait},
		{"all must attest, one may be of another cluster than the log", modifiedVoterDisk(func(d *LocalDisk) {
			d.RequiredAttesters, d.Cluster, d.LoggedCluster = -1, "", "x"
		}), attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", func(a *Attestation) { a.Cluster = "y" })), VerdictWait},
		{"all must attest, one may be of the cluster in the log", modifiedVoterDisk(func(d *LocalDisk) {
			d.RequiredAttesters, d.Cluster, d.LoggedCluster, d.Members = -1, "", "x", nil
		}), attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", nil)), VerdictResume},
		{"all must attest, another member knows the cluster", modifiedVoterDisk(func(d *LocalDisk) {
			d.RequiredAttesters, d.Cluster, d.LoggedCluster = -1, "", "w"
		}), attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", nil)), VerdictResume},
		{"all must attest, another node answers at the address of one", allAttestersDisk, map[string]Attestation{"b": attestationFrom("b@1", nil), "c": attestationFrom("b@1", nil)}, VerdictWait},
		{"all must attest, a node that is no voter answers at the address of one", allAttestersDisk, map[string]Attestation{"b": attestationFrom("b@1", nil), "c": attestationFrom("d@1", nil)}, VerdictWait},
		{"all must attest, this node answers at the address of one", allAttestersDisk, map[string]Attestation{"b": attestationFrom("b@1", nil), "c": attestationFrom("a@1", nil)}, VerdictWait},
		{"all must attest, one answers without a disk", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c", nil)), VerdictWait},
		{"all must attest, an earlier disk of this node has a vote", modifiedVoterDisk(func(d *LocalDisk) {
			d.RequiredAttesters, d.Voters = -1, []string{"a@0", "a@1", "b@1", "c@1"}
		}), attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@1", nil)), VerdictResume},
		{"all must attest, one has lost its disk and the other has seen more", allAttestersDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{3, 5, 4, 41})), freshAttestation("c@2")), VerdictNewIdentity},
		{"all must attest, one has given its disk up and remembers more of this one", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", withLastObserved(Watermark{3, 5, 4, 41}))), VerdictNewIdentity},
		{"seen at a later start", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{4, 5, 4, 40}))), VerdictNewIdentity},
		{"in a later term", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{3, 6, 4, 40}))), VerdictNewIdentity},
		{"with a longer log", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{3, 5, 4, 41}))), VerdictNewIdentity},
		{"with a longer log of an older term", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{3, 5, 3, 99}))), VerdictResume},
		{"seen with more by a learner", voterDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("d@1", withLastObserved(Watermark{3, 5, 4, 41}))), VerdictNewIdentity},
		{"no longer a member", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.ConfigIndex, a.Members = 9, []string{"a@2", "b@1"} })), VerdictNewIdentity},
		{"not a member yet in an older configuration", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.ConfigIndex, a.Members = 6, []string{"b@1"} })), VerdictResume},
		{"voters have changed", voterDisk, attestationsByName(attestationFrom("d@1", func(a *Attestation) {
			a.ConfigIndex, a.Members, a.Voters = 9, []string{"a@1", "d@1", "e@1"}, []string{"a@1", "d@1", "e@1"}
		})), VerdictResume},
		{"has lost its vote", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.ConfigIndex, a.Voters = 9, []string{"b@1", "c@1"} })), VerdictJoin},
		{"a learner", modifiedVoterDisk(func(d *LocalDisk) { d.Voters = []string{"b@1", "c@1"} }), nil, VerdictJoin},
		{"its cluster was recovered as another", voterDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@9", func(a *Attestation) { a.Cluster, a.PreviousClusters = "y", []string{"x"} })), VerdictWait},
		{"a cluster of one", modifiedVoterDisk(func(d *LocalDisk) { d.Members, d.Voters = []string{"a@1"}, []string{"a@1"} }), nil, VerdictResume},
	} {
		got, reason := Decide(c.local, c.attestations)
		assert.Equal(t, c.want.String(), got.String(), "%s: %s", c.name, reason)
		assert.NotEmpty(t, reason, c.name)
	}
}

func TestCheckJoin(t *testing.T) {
	up := func(id string) bool { return id == "a@1" }
	members := []string{"a@1", "b@1"}
	assert.NoError(t, CheckJoin("b@2", members, nil, up, 3), "its old disk is gone")
	assert.ErrorContains(t, CheckJoin("a@2", members, nil, up, 3), "with another disk")
	assert.ErrorContains(t, CheckJoin("c@1", members, []string{"c"}, up, 3), "store add c")
	assert.ErrorContains(t, CheckJoin("c@1", members, nil, up, 2), "2 members already")
}
