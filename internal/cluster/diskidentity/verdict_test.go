package diskidentity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

var initialMembers = []string{"a", "b", "c"}

// voterWatermark is the watermark of voterDisk.
var voterWatermark = Watermark{Starts: 3, Term: 5, LastTerm: 4, LastIndex: 40}

// voterDisk is the disk a@1 of one of three voters.
var voterDisk = LocalDisk{
	ID:             "a@1",
	Cluster:        "x",
	Watermark:      voterWatermark,
	ConfigIndex:    7,
	Members:        []string{"a@1", "b@1", "c@1"},
	Voters:         []string{"a@1", "b@1", "c@1"},
	InitialMembers: initialMembers,
}

func freshDisk(name string) LocalDisk {
	return LocalDisk{ID: MemberID(name, "1"), Fresh: true, Empty: true, InitialMembers: initialMembers}
}

// modifiedVoterDisk returns voterDisk with a change.
func modifiedVoterDisk(change func(*LocalDisk)) LocalDisk {
	d := voterDisk
	change(&d)
	return d
}

// allAttestersDisk is voterDisk with RequiredAttesters set to all other voters.
var allAttestersDisk = modifiedVoterDisk(func(d *LocalDisk) { d.RequiredAttesters = -1 })

// attestationFrom returns a member's attestation about the disk a@1, with a change that may be nil.
func attestationFrom(id string, change func(*Attestation)) Attestation {
	a := Attestation{ID: id, Cluster: "x", ConfigIndex: 7, Members: voterDisk.Members, Voters: voterDisk.Voters, LastObserved: &voterWatermark}
	if change != nil {
		change(&a)
	}
	return a
}

func freshAttestation(id string) Attestation { return Attestation{ID: id, Fresh: true} }

// withLastObserved sets the watermark that was observed of the disk a@1.
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
		{"all fresh, lowest name", freshDisk("a"), attestationsByName(freshAttestation("b@1"), freshAttestation("c@1")), VerdictBootstrap},
		{"all fresh, not the lowest name", freshDisk("b"), attestationsByName(freshAttestation("a@1"), freshAttestation("c@1")), VerdictJoin},
		{"one initial member does not answer", freshDisk("a"), attestationsByName(freshAttestation("b@1")), VerdictWait},
		{"one fresh peer, one member of a cluster", freshDisk("a"), attestationsByName(freshAttestation("b@1"), attestationFrom("c@1", nil)), VerdictJoin},
		{"empty folder that replaced another one", LocalDisk{ID: "a@2", Empty: true, InitialMembers: initialMembers}, attestationsByName(freshAttestation("b@1"), freshAttestation("c@1")), VerdictJoin},
		{"initial member with a replaced folder", freshDisk("a"), attestationsByName(Attestation{ID: "b@2"}, freshAttestation("c@1")), VerdictWait},
		{"initial member with a replaced folder, one member of a cluster", freshDisk("a"), attestationsByName(Attestation{ID: "b@2"}, attestationFrom("c@1", nil)), VerdictJoin},
		{"initial member with a replaced folder, one log without a cluster ID", freshDisk("a"), attestationsByName(Attestation{ID: "b@2"}, attestationFrom("c@1", func(a *Attestation) { a.Cluster = "" })), VerdictJoin},
		{"initial member with a replaced folder, local node is no initial member", LocalDisk{ID: "d@1", Fresh: true, Empty: true, InitialMembers: initialMembers}, attestationsByName(freshAttestation("a@1"), Attestation{ID: "b@2"}, freshAttestation("c@1")), VerdictJoin},
		{"the only initial member", LocalDisk{ID: "a@1", Fresh: true, Empty: true, InitialMembers: []string{"a"}}, nil, VerdictBootstrap},
		{"not an initial member", LocalDisk{ID: "d@1", Fresh: true, Empty: true, InitialMembers: initialMembers}, attestationsByName(freshAttestation("a@1"), freshAttestation("b@1"), freshAttestation("c@1")), VerdictJoin},
		{"no peer answers", voterDisk, nil, VerdictWait},
		{"one peer observed the present state", voterDisk, attestationsByName(attestationFrom("b@1", nil)), VerdictResume},
		{"one peer observed an earlier state", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{Starts: 1}))), VerdictResume},
		{"one peer never observed the disk", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.LastObserved = nil })), VerdictResume},
		{"the only peer that answers has a fresh disk", voterDisk, attestationsByName(freshAttestation("b@2")), VerdictWait},
		{"attestation of another cluster", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.Cluster = "y" })), VerdictWait},
		{"all must attest, one does", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil)), VerdictWait},
		{"all must attest, all do", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@1", nil)), VerdictResume},
		{"all must attest, one has lost its disk", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), freshAttestation("c@2")), VerdictResume},
		{"all must attest, one has a new disk identity", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", nil)), VerdictResume},
		{"all must attest, one has lost its disk and another does not answer", allAttestersDisk, attestationsByName(freshAttestation("c@2")), VerdictWait},
		{"all must attest, both others have lost their disks", allAttestersDisk, attestationsByName(freshAttestation("b@2"), freshAttestation("c@2")), VerdictWait},
		{"all must attest, one has a new disk of another cluster", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", func(a *Attestation) { a.Cluster = "y" })), VerdictWait},
		{"all must attest, one has a new disk of a cluster that the log does not name", modifiedVoterDisk(func(d *LocalDisk) {
			d.RequiredAttesters, d.Cluster, d.LoggedCluster = -1, "", "x"
		}), attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", func(a *Attestation) { a.Cluster = "y" })), VerdictWait},
		{"all must attest, one has a new disk of the logged cluster", modifiedVoterDisk(func(d *LocalDisk) {
			d.RequiredAttesters, d.Cluster, d.LoggedCluster, d.Members = -1, "", "x", nil
		}), attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", nil)), VerdictResume},
		{"all must attest, a peer's cluster overrides the logged cluster", modifiedVoterDisk(func(d *LocalDisk) {
			d.RequiredAttesters, d.Cluster, d.LoggedCluster = -1, "", "w"
		}), attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", nil)), VerdictResume},
		{"all must attest, another voter answers at the address of one", allAttestersDisk, map[string]Attestation{"b": attestationFrom("b@1", nil), "c": attestationFrom("b@1", nil)}, VerdictWait},
		{"all must attest, a non-voter answers at the address of one", allAttestersDisk, map[string]Attestation{"b": attestationFrom("b@1", nil), "c": attestationFrom("d@1", nil)}, VerdictWait},
		{"all must attest, this node answers at the address of one", allAttestersDisk, map[string]Attestation{"b": attestationFrom("b@1", nil), "c": attestationFrom("a@1", nil)}, VerdictWait},
		{"all must attest, one answers without a disk identity", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c", nil)), VerdictWait},
		{"all must attest, an earlier disk of this node has a vote", modifiedVoterDisk(func(d *LocalDisk) {
			d.RequiredAttesters, d.Voters = -1, []string{"a@0", "a@1", "b@1", "c@1"}
		}), attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@1", nil)), VerdictResume},
		{"all must attest, one has lost its disk and the other observed a later state", allAttestersDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{3, 5, 4, 41})), freshAttestation("c@2")), VerdictNewIdentity},
		{"all must attest, one has a new disk identity and observed a later state", allAttestersDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@2", withLastObserved(Watermark{3, 5, 4, 41}))), VerdictNewIdentity},
		{"observed at a later start", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{4, 5, 4, 40}))), VerdictNewIdentity},
		{"observed in a later term", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{3, 6, 4, 40}))), VerdictNewIdentity},
		{"observed with a longer log", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{3, 5, 4, 41}))), VerdictNewIdentity},
		{"observed with a longer log of an older term", voterDisk, attestationsByName(attestationFrom("b@1", withLastObserved(Watermark{3, 5, 3, 99}))), VerdictResume},
		{"later state observed by a learner", voterDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("d@1", withLastObserved(Watermark{3, 5, 4, 41}))), VerdictNewIdentity},
		{"not a member in a later configuration", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.ConfigIndex, a.Members = 9, []string{"a@2", "b@1"} })), VerdictNewIdentity},
		{"not a member in an older configuration", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.ConfigIndex, a.Members = 6, []string{"b@1"} })), VerdictResume},
		{"other voters in a later configuration", voterDisk, attestationsByName(attestationFrom("d@1", func(a *Attestation) {
			a.ConfigIndex, a.Members, a.Voters = 9, []string{"a@1", "d@1", "e@1"}, []string{"a@1", "d@1", "e@1"}
		})), VerdictResume},
		{"not a voter in a later configuration", voterDisk, attestationsByName(attestationFrom("b@1", func(a *Attestation) { a.ConfigIndex, a.Voters = 9, []string{"b@1", "c@1"} })), VerdictJoin},
		{"a learner", modifiedVoterDisk(func(d *LocalDisk) { d.Voters = []string{"b@1", "c@1"} }), nil, VerdictJoin},
		{"cluster recovered as another one", voterDisk, attestationsByName(attestationFrom("b@1", nil), attestationFrom("c@9", func(a *Attestation) { a.Cluster, a.PreviousClusters = "y", []string{"x"} })), VerdictWait},
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
	assert.NoError(t, CheckJoin("b@2", members, nil, up, 3), "the member with the old disk is down")
	assert.ErrorContains(t, CheckJoin("a@2", members, nil, up, 3), "with another disk")
	assert.ErrorContains(t, CheckJoin("c@1", members, []string{"c"}, up, 3), "store add c")
	assert.ErrorContains(t, CheckJoin("c@1", members, nil, up, 2), "2 members already")
}
