package diskidentity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestAttestersNeeded guards against waiting for attestations of replaced disks, which no node can give, and against
// fewer attesters than a majority needs.
func TestAttestersNeeded(t *testing.T) {
	for _, c := range []struct{ voters, attesters, replaced, want int }{
		{3, 0, 0, 1}, {3, 0, 2, 1},
		{3, -1, 0, 2}, {3, -1, 1, 1}, {3, -1, 2, 1},
		{5, -1, 0, 4}, {5, -1, 1, 3}, {5, -1, 2, 2}, {5, -1, 3, 2},
		{5, 3, 0, 3}, {5, 3, 1, 3}, {5, 3, 2, 2},
		{5, 1, 0, 1}, {5, 1, 4, 1},
		{3, 7, 0, 2}, {3, 7, 1, 1},
		{1, -1, 0, 0}, {1, 0, 0, 0},
	} {
		disk := LocalDisk{RequiredAttesters: c.attesters, Voters: make([]string, c.voters)}
		assert.Equal(t, c.want, disk.attestersNeeded(attesterTally{replaced: make([]ReplacedVoter, c.replaced)}), "%+v", c)
	}
}

// TestAttesterReasons guards against a reason that does not name the voters that are waited for, the replaced
// disks, or what operators can do.
func TestAttesterReasons(t *testing.T) {
	for _, c := range []struct {
		attestations map[string]Attestation
		want         string
	}{
		{nil, "2 of b@1, c@1 must say that this disk is not older than what it acknowledged"},
		{attestationsByName(freshAttestation("c@2")), "1 of b@1, c@1 must say that this disk is not older than what it acknowledged; c@1 can't, as its node has c@2 now"},
		{attestationsByName(freshAttestation("b@2"), freshAttestation("c@2")), "a majority of the voters must have their disks: start them with the folders of those disks, or recover a lost majority; b@1 can't, as its node has b@2 now; c@1 can't, as its node has c@2 now"},
		{attestationsByName(attestationFrom("b@1", nil), freshAttestation("c@2")), "1 others have seen no more of this disk; c@1 can't, as its node has c@2 now"},
	} {
		_, reason := Decide(allAttestersDisk, c.attestations)
		assert.Equal(t, c.want, reason.String())
	}
	_, reason := Decide(voterDisk, attestationsByName(freshAttestation("b@2")))
	assert.Equal(t, "1 of b@1, c@1 must say that this disk is not older than what it acknowledged; b@1 can't, as its node has b@2 now", reason.String())
}
